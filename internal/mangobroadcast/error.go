package mangobroadcast

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindNotServed means that this kind of daemon does not serve the called method.
	KindNotServed Kind = iota + 1
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindNotServed:
		return "NotServed"
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
		return fmt.Sprintf("mangobroadcast: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangobroadcast: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
