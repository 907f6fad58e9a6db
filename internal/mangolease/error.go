package mangolease

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindNotHolder means that the lease ended or that another daemon holds the key.
	KindNotHolder Kind = iota + 1
	// KindStore means that the store did not answer or refused the call.
	KindStore
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindNotHolder:
		return "NotHolder"
	case KindStore:
		return "Store"
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
		return fmt.Sprintf("mangolease: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangolease: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
