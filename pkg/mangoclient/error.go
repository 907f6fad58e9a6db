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
	// KindUnavailable means that the request had no effect and may be sent again.
	KindUnavailable
	// KindUnknown means that it is not known whether the request took effect.
	KindUnknown
	// KindTruncated means that an answer was cut off before its end marker.
	KindTruncated
	// KindRejected means that a call was refused and would be refused again if it is sent unchanged.
	KindRejected
	// KindInternal means that the entry host failed.
	KindInternal
	// KindStopped means that the function given to Stream returned an error.
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
	// Present is the entry in force if Kind is KindConflict.
	Present *mangomessage.Entry
	// Outcome says whether a call ran: NotRun, Unknown or Rejected. It is empty for operators' requests.
	Outcome string
	// Reason is the kind of the error in the entry host's answer, such as Overload.
	Reason string
	// Call is the id of the call, for the logs of the entry host.
	Call string
	// RetryAfter is the time after which the entry host suggests a retry, or 0 if it suggests none.
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
