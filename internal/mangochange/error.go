package mangochange

import (
	"fmt"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Kind classifies an error of this package.
type Kind int

const (
	// KindInvalid means that the change is not allowed; it had no effect.
	KindInvalid Kind = iota + 1
	// KindConflict means that the entry is at another revision than expected; Present has it.
	KindConflict
	// KindUnavailable means that the store could not be used; the change surely had no effect.
	KindUnavailable
	// KindUnknown means that the change may have been accepted. Proposing it again with the same id is safe.
	KindUnknown
	// KindContention means that other writers won every attempt; the change had no effect.
	KindContention
	// KindBehind means that the store's head is older than the known book, as after a restore of the store.
	KindStoreBehind
	// KindFork means that the store and the known book have different changes at one revision.
	KindFork
	// KindCorrupt means that the head or a page could not be read.
	KindCorrupt
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	names := [...]string{
		"", "Invalid", "Conflict", "Unavailable", "Unknown", "Contention", "Behind", "Fork", "Corrupt",
	}
	if k < 1 || int(k) >= len(names) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return names[k]
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Present is the entry that a conflict found, nil when there is none.
	Present *mangomessage.Entry
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("mangochange: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// storeKind returns the kind of a store error, 0 for nil or another error.
func storeKind(err error) mangostore.Kind {
	var e *mangostore.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
