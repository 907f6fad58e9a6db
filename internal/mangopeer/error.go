package mangopeer

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindUnreachable means that no connection could be made or that it broke.
	KindUnreachable Kind = iota + 1
	// KindTimeout means that the call missed its deadline.
	KindTimeout
	// KindUnauthenticated means that the other side did not prove that it is a peer. Logs name it Denied.
	KindUnauthenticated
	// KindRemote means that the peer answered the call with an error.
	KindRemote
	// KindGap means that changes do not continue the known book, so that the pages of the peer's book have to be fetched,
	// or that the peer's book changed while they were fetched.
	KindGap
	// KindFork means that a peer has another change at a revision of the known book.
	KindFork
	// KindInvalid means that a message or setting is malformed.
	KindInvalid
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	names := [...]string{"", "Unreachable", "Timeout", "Denied", "Remote", "Gap", "Fork", "Invalid"}
	if k < 1 || int(k) >= len(names) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return names[k]
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("mangopeer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
