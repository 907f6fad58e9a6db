package mangocontrol

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindStopped means that the context ended before the control goroutine had applied a change.
	KindStopped Kind = iota + 1
	// KindUnknownName means that neither a profile nor an alias has the name.
	KindUnknownName
	// KindNoReplica means that no usable chain of replicas serves the profile.
	KindNoReplica
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindStopped:
		return "Stopped"
	case KindUnknownName:
		return "UnknownName"
	case KindNoReplica:
		return "NoReplica"
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
		return fmt.Sprintf("mangocontrol: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangocontrol: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
