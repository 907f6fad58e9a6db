package mangoclient

import (
	"fmt"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Kind classifies an error of this package.
type Kind int

const (
	// KindInvalid means that an argument, a file or a request is not allowed.
	KindInvalid Kind = iota + 1
	// KindUnauthorised means that the token or key was refused.
	KindUnauthorised
	// KindNotFound means that there is no such route, entry or profile.
	KindNotFound
	// KindConflict means that an entry is at another revision than the change expected.
	KindConflict
	// KindUnreachable means that no entry host answered.
	KindUnreachable
	// KindUnavailable means that the request surely had no effect and may be sent again.
	KindUnavailable
	// KindUnknown means that the request may have had its effect.
	KindUnknown
	// KindTruncated means that an answer had no end mark.
	KindTruncated
	// KindRejected means that a call was refused; it must not be sent again as it is.
	KindRejected
	// KindInternal means a fault of the entry host.
	KindInternal
	// KindStopped means that the caller's own function ended a stream.
	KindStopped
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	names := [...]string{
		"", "Invalid", "Unauthorised", "NotFound", "Conflict", "Unreachable", "Unavailable", "Unknown", "Truncated",
		"Rejected", "Internal", "Stopped",
	}
	if k < 1 || int(k) >= len(names) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return names[k]
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Present is the entry in force, on a conflict.
	Present *mangomessage.Entry
	// Outcome of a call is NotRun, Unknown or Rejected; empty for operators' requests.
	Outcome string
	// Reason is the kind of the fault that the entry host stated, such as Overload.
	Reason string
	// Call is the id of the call, for the logs of the entry host.
	Call string
	// RetryAfter is 0 when a retry makes no sense now.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("mangoclient: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangoclient: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
