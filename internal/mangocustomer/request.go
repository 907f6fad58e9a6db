package mangocustomer

import (
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
)

// Request asks the queue for a slot of a pool.
type Request struct {
	Customer string
	// Weight is the customer's share under contention, relative to other customers; 0 means 1.
	Weight uint32
	// Pool names the replicas that can serve the call.
	Pool string
	// Class groups calls of a pool that take the same time for a unit of Cost, such as those of one profile. Classes differ
	// because upstreams run some before others.
	Class string
	// Cost is the expected work relative to other calls of the pool, such as the number of tokens; 0 means 1.
	Cost float64
	// Deadline is the time by which the answer must be complete; zero means none.
	Deadline time.Time
}

// minRetryAfter keeps refused callers from retrying before the load can have changed.
const minRetryAfter = 100 * time.Millisecond

// newRefusal returns the error of a call that was not dispatched; the caller may retry after the given time.
func newRefusal(kind mangocall.Kind, after time.Duration, reason string) *mangocall.Error {
	return &mangocall.Error{
		Op: "Acquire", Kind: kind, Outcome: mangocall.NotRun,
		RetryAfter: max(after, minRetryAfter), Err: errors.New(reason),
	}
}
