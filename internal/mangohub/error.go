package mangohub

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindStream means that the stream from a hub could not be opened or has ended.
	KindStream Kind = iota + 1
	// KindSilent means that a hub sent nothing for too long.
	KindSilent
	// KindItem means that an item of the store could not be read by the hub that sent it.
	KindItem
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindStream:
		return "Stream"
	case KindSilent:
		return "Silent"
	case KindItem:
		return "Item"
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
		return fmt.Sprintf("mangohub: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangohub: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
