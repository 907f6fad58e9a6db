package mangocustomer

import (
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
)

// Request asks for a slot of a profile.
type Request struct {
	Customer string
	// Weight is the customer's share under contention; 0 means 1.
	Weight  uint32
	Pool string
	// Class names calls of the profile with the same time for a unit of Cost; upstreams run some before others.
	Class string
	// Cost is the expected work relative to other calls of the profile, such as tokens; 0 means 1.
	Cost float64
	// Deadline is the time by which the whole answer must be there; zero means none.
	Deadline time.Time
}

// minRetryAfter keeps refused callers from returning before anything can have changed.
const minRetryAfter = 100 * time.Millisecond

func refuse(kind mangocall.Kind, after time.Duration, reason string) *mangocall.Error {
	return &mangocall.Error{
		Op: "Acquire", Kind: kind, Outcome: mangocall.NotRun,
		RetryAfter: max(after, minRetryAfter), Err: errors.New(reason),
	}
}
