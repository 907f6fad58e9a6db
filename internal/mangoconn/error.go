package mangoconn

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindUnsent means that no byte of the request was sent.
	KindUnsent Kind = iota + 1
	// KindBroken means that the connection broke after the request was sent at least in part.
	KindBroken
	// KindTimeout means that the answer did not come in time after the request was sent.
	KindTimeout
	// KindInvalid means that the bytes that arrived are not an HTTP answer.
	KindInvalid
	// KindCancelled means that the context of the request ended.
	KindCancelled
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindUnsent:
		return "Unsent"
	case KindBroken:
		return "Broken"
	case KindTimeout:
		return "Timeout"
	case KindInvalid:
		return "Invalid"
	case KindCancelled:
		return "Cancelled"
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
		return fmt.Sprintf("mangoconn: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangoconn: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
