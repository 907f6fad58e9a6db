package mangodaemon

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindStart means that a part could not be started.
	KindStart Kind = iota + 1
	// KindPart means that a part ended while it was needed.
	KindComponent
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindStart:
		return "Start"
	case KindComponent:
		return "Part"
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
func (e *Error) Error() string { return fmt.Sprintf("mangodaemon: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
