package mangoverdict

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindEncoding means that a record cannot be encoded or decoded.
	KindEncoding Kind = iota + 1
	// KindStore means that the store could not be read or written.
	KindStore
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindEncoding:
		return "Encoding"
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
		return fmt.Sprintf("mangoverdict: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangoverdict: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
