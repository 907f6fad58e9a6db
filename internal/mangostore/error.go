package mangostore

import "fmt"

// Kind classifies an error of this package.
type Kind int

const (
	// KindUnavailable means that the call failed and certainly had no effect.
	KindUnavailable Kind = iota + 1
	// KindUnknown means that a write failed but may have taken effect.
	KindUnknown
	// KindConflict means that the key was not at the expected version.
	KindConflict
	// KindLimited means that the service's rate limit or this daemon's budget was exceeded; the call had no effect.
	KindLimited
	// KindLeaseLost means that the lease had ended.
	KindLeaseLost
	// KindRestored means that the service has returned from a copy since it gave out the lease or the version that the call names.
	// The lease or the item may be gone, or still exist under another version.
	KindRestored
	// KindInvalid means that the request could not be built, or that the service refused it as malformed, too large or
	// unauthorised.
	KindInvalid
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindUnavailable:
		return "Unavailable"
	case KindUnknown:
		return "Unknown"
	case KindConflict:
		return "Conflict"
	case KindLimited:
		return "Limited"
	case KindLeaseLost:
		return "LeaseLost"
	case KindRestored:
		return "Restored"
	case KindInvalid:
		return "Invalid"
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
		return fmt.Sprintf("mangostore: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangostore: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
