package mangostate

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindStore means that the store did not answer or refused.
	KindStore Kind = iota + 1
	// KindCompacted means that the store no longer has the changes asked for.
	KindCompacted
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindStore:
		return "Store"
	case KindCompacted:
		return "History"
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
		return fmt.Sprintf("mangostate: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangostate: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
