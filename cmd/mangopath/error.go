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
	// KindUsage means that a flag, argument or file is not allowed.
	KindUsage
	// KindConflict means that another operator changed an entry meanwhile.
	KindConflict
	// KindUnreachable means that no entry host answered or that the platform could not be written.
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
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// invalidValue names a flag or argument, its value and what is allowed.
func invalidValue(flag, value, allowed string) error {
	return &Error{Op: "usage", Kind: KindUsage, Err: errors.Errorf("%s is %q; allowed: %s", flag, value, allowed)}
}

// kindOf returns the kind, and with it the exit status, of an error of any package.
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
