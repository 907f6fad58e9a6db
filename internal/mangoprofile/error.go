package mangoprofile

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindUnknownName means that the book has no profile or alias of the name.
	KindUnknownName Kind = iota + 1
	// KindDangling means that an alias points to a profile that the book does not have.
	KindDangling
	// KindInvalid means that an entry has invalid fields, or references that do not fit those of other entries.
	KindInvalid
	// KindOrder means that entries or pages do not continue the revision of the book, or do not belong in it.
	KindOrder
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindUnknownName:
		return "UnknownName"
	case KindDangling:
		return "Dangling"
	case KindInvalid:
		return "Invalid"
	case KindOrder:
		return "Order"
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
	return fmt.Sprintf("mangoprofile: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
