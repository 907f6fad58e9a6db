package mangopeer

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindUnreachable means that no connection could be made or that it broke.
	KindUnreachable Kind = iota + 1
	// KindTimeout means that the call missed its deadline.
	KindTimeout
	// KindDenied means that the other side did not prove that it is a peer.
	KindUnauthenticated
	// KindRemote means that the peer answered with an error.
	KindRemote
	// KindGap means that changes do not continue the known book; its pages have to be fetched.
	KindGap
	// KindFork means that a peer has another change at a known revision.
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
