package mangotrace

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindUnreadable means that a log could not be read to its end.
	KindUnreadable Kind = iota + 1
	// KindUnknown means that no line names the request.
	KindUnknown
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindUnreadable:
		return "Unreadable"
	case KindUnknown:
		return "Unknown"
	default:
		return fmt.Sprintf("Kind(%d)", int(k))
	}
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("mangotrace: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangotrace: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
