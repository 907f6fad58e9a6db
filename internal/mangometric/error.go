package mangometric

import "fmt"

// Kind classifies an error of this package.
type Kind int

// KindRegister means that the registry refused a collector, for example because its name is taken.
const KindRegister Kind = 1

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	if k == KindRegister {
		return "Register"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("mangometric: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
