package mangostate

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindStore means that the store did not answer or refused the call.
	KindStore Kind = iota + 1
	// KindCompacted means that the store no longer keeps the changes after the requested revision.
	KindCompacted
	// KindRestored means that the requested revision is of an era before the latest known one. The store was not called, so it says
	// nothing of whether the store is reachable.
	KindRestored
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindStore:
		return "Store"
	case KindCompacted:
		return "History"
	case KindRestored:
		return "Restored"
	default:
		return fmt.Sprintf("Kind(%d)", int(k))
	}
}

// Error is the error type of this package.
type Error struct {
	// Op is the call to the store that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("mangostate: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangostate: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
