package main

import (
	"fmt"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangosetting"
	"mangopath.org/mangopath/pkg/mangoclient"
)

// Kind classifies an error of the command line; its value is the exit status.
type Kind int

const (
	// KindFailure means that the command failed.
	KindFailure Kind = iota + 1
	// KindUsage means that a flag, an argument or the content of a file is invalid.
	KindUsage
	// KindConflict means that an entry is at a newer revision than the change expects, as after a change by another operator.
	KindConflict
	// KindUnreachable means that no entry host answered, that the entry host or the platform could not serve the request, or
	// that its outcome is unknown.
	KindUnreachable
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindFailure:
		return "Failure"
	case KindUsage:
		return "Usage"
	case KindConflict:
		return "Conflict"
	case KindUnreachable:
		return "Unreachable"
	default:
		return fmt.Sprintf("Kind(%d)", int(k))
	}
}

// Error is the error type of the command line.
type Error struct {
	// Op is the flag, setting or operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// invalidValue returns a usage error that names a flag or argument, its value and the allowed values.
func invalidValue(flag, value, allowed string) error {
	return &Error{Op: "usage", Kind: KindUsage, Err: errors.Errorf("%s is %q; allowed: %s", flag, value, allowed)}
}

// kindOf returns the kind of an error of any package. Errors without a known type are KindFailure.
func kindOf(err error) Kind {
	var own *Error
	if errors.As(err, &own) {
		return own.Kind
	}
	var setting *mangosetting.Error
	if errors.As(err, &setting) {
		return KindUsage
	}
	var client *mangoclient.Error
	if errors.As(err, &client) {
		return kindOfClientError(client.Kind)
	}
	return KindFailure
}

// kindOfClientError returns the kind that corresponds to an error kind of the API client.
func kindOfClientError(kind mangoclient.Kind) Kind {
	switch kind {
	case mangoclient.KindInvalid, mangoclient.KindNotFound:
		return KindUsage
	case mangoclient.KindConflict:
		return KindConflict
	case mangoclient.KindUnreachable, mangoclient.KindUnavailable, mangoclient.KindUnknown:
		return KindUnreachable
	case mangoclient.KindUnauthorised, mangoclient.KindTruncated, mangoclient.KindRejected, mangoclient.KindInternal,
		mangoclient.KindStopped:
		return KindFailure
	default:
		return KindFailure
	}
}
