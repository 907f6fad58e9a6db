package mangoupstream

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindNotSent means that no part of the request was sent to the upstream.
	KindNotSent Kind = iota + 1
	// KindRefused means that the upstream answered that it did not run the request.
	KindRefused
	// KindLost means that the connection broke after the request was sent; it may have run.
	KindLost
	// KindTimeout means that no reply came in time; the request may have run.
	KindTimeout
	// KindNoState means that the engine has no KV cache for the call that was to be resumed.
	KindNoState
	// KindProtocol means that the reply was malformed, too long or reported an error.
	KindProtocol
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindNotSent:
		return "NotSent"
	case KindRefused:
		return "Refused"
	case KindLost:
		return "Lost"
	case KindTimeout:
		return "Timeout"
	case KindNoState:
		return "NoState"
	case KindProtocol:
		return "Protocol"
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
		return fmt.Sprintf("mangoupstream: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangoupstream: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
