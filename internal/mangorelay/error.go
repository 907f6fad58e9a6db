package mangorelay

import "fmt"

// Kind classifies an error of a query.
type Kind int

const (
	// KindInvalid means that a property of the request is invalid.
	KindInvalid Kind = iota
	// KindNotFound means that the configuration has no such host, path or customer.
	KindNotFound
	// KindUnavailable means that the daemon has no configuration yet, or stops and takes no such request.
	KindUnavailable
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"Invalid", "NotFound", "Unavailable"}[k] }

// Error is the error type of queries.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
