package mangogateway

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindListen means that the listener could not be opened.
	KindListen Kind = iota + 1
	// KindCertificate means that the certificate or its key could not be used.
	KindCertificate
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindListen:
		return "Listen"
	case KindCertificate:
		return "Certificate"
	default:
		return fmt.Sprintf("Kind(%d)", int(k))
	}
}

// Error is the error type of Listen. Failed calls have errors of type *mangocall.Error.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("mangogateway: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
