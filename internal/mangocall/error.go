package mangocall

import (
	"fmt"
	"time"
)

// Kind classifies an error of this package.
type Kind int

const (
	// KindOverload means that the queue is full or the deadline cannot be met.
	KindOverload Kind = iota + 1
	// KindDeadline means that the deadline passed.
	KindDeadline
	// KindNoUpstream means that no chain or service replica is usable.
	KindNoUpstream
	// KindUpstream means that the call failed on upstreams and no retry was left.
	KindUpstream
	// KindLimit means that the customer has reached its rate limit.
	KindLimit
	// KindQuarantine means that the request is refused because it crashed upstreams.
	KindQuarantine
	// KindInvalid means that the request is malformed.
	KindInvalid
	// KindMismatch means that the idempotency key was used with another body.
	KindMismatch
	// KindInProgress means that another call with the idempotency key is running.
	KindInProgress
	// KindPlatform means that the platform's store could not be written.
	KindPlatform
	// KindCancelled means that the caller cancelled the call or closed its connection.
	KindCancelled
	// KindUnauthorised means that the caller's key is missing, unknown or not allowed to use the profile.
	KindUnauthorised
	// KindUnknownProfile means that no profile or alias has the name.
	KindUnknownProfile
	// KindTooLarge means that the request exceeds a size limit.
	KindTooLarge
	// KindStopping means that this entry host is shutting down.
	KindStopping
)

// String returns the name of the kind as it appears in error bodies and logs.
func (k Kind) String() string {
	names := [...]string{
		"", "Overload", "Deadline", "NoUpstream", "Upstream", "Limit", "Quarantine", "Invalid", "Mismatch",
		"InProgress", "Platform", "Cancelled", "Unauthorised", "UnknownProfile", "TooLarge", "Stopping",
	}
	if k < 1 || int(k) >= len(names) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return names[k]
}

// Error is the error of this package and of every call that has no answer.
type Error struct {
	Op      string
	Kind    Kind
	Outcome Outcome
	// RetryAfter is the time after which the caller may try again; 0 gives no time.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("mangocall: %s: %s (%s)", e.Op, e.Kind, e.Outcome)
	}
	return fmt.Sprintf("mangocall: %s: %s (%s): %v", e.Op, e.Kind, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
