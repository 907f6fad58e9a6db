package mangooperator

import (
	"fmt"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Kind classifies an error of this package.
type Kind int

const (
	// KindInvalid means that the request or a change in it is not allowed.
	KindInvalid Kind = iota + 1
	// KindUnauthorised means that the token is missing or wrong.
	KindUnauthorised
	// KindNotFound means that there is no such route, entry or profile.
	KindNotFound
	// KindConflict means that an entry is at another revision than the change expected.
	KindConflict
	// KindUnavailable means that the request had no effect and may be sent again.
	KindUnavailable
	// KindUnknown means that it is not known whether a change was accepted; it may be sent again with the same id.
	KindUnknown
	// KindInternal means a fault of this program.
	KindInternal
	// KindListen means that the listener could not be opened.
	KindListen
)

// String returns the name of the kind as it appears in error bodies and logs.
func (k Kind) String() string {
	names := [...]string{
		"", "Invalid", "Unauthorised", "NotFound", "Conflict", "Unavailable", "Unknown", "Internal", "Listen",
	}
	if k < 1 || int(k) >= len(names) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return names[k]
}

// Error is the error type of this package and of its dependencies.
type Error struct {
	Op   string
	Kind Kind
	// Present is the entry in force when Kind is KindConflict; nil when there is none.
	Present *mangomessage.Entry
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("mangooperator: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangooperator: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
