package mangochain

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindNoChain means that the usable replicas do not cover all layers.
	KindNoChain Kind = iota + 1
	// KindInvalid means that the request has no profile, or a profile without layers.
	KindInvalid
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindNoChain:
		return "NoChain"
	case KindInvalid:
		return "Invalid"
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
		return fmt.Sprintf("mangochain: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangochain: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
