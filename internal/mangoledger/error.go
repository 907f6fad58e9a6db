package mangoledger

import (
	"fmt"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Kind classifies an error of this package.
type Kind int

const (
	// KindUnavailable means that the store could not be written and that no record of this attempt exists. Other attempts
	// of the call may have run or may still run.
	KindUnavailable Kind = iota + 1
	// KindPending means that a record of this attempt may exist although this process will never dispatch it.
	KindPending
	// KindStarted means that another attempt holds the record and may be running; Record has it.
	KindStarted
	// KindDone means that the call has run; Record has the answer or its digest.
	KindDone
	// KindMismatch means that the key was used with another body.
	KindMismatch
	// KindInvalid means that the customer, key or digest is empty, too long or not valid UTF-8.
	KindInvalid
	// KindContended means that this attempt could not be recorded although no other one was found to hold the record. Other
	// attempts of the call may have run or may still run.
	KindContended
	// KindCorrupt means that the record cannot be decoded, so nothing is known about the call.
	KindCorrupt
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	names := [...]string{"", "Unavailable", "Pending", "Started", "Done", "Mismatch", "Invalid", "Contended", "Corrupt"}
	if k < 1 || int(k) >= len(names) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return names[k]
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Record is set for KindStarted, KindDone and KindMismatch.
	Record *mangomessage.Record
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("mangoledger: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("mangoledger: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of an error of this package, or 0.
func ErrorKind(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// RecordOf returns the record that an error of this package carries, or nil.
func RecordOf(err error) *mangomessage.Record {
	var e *Error
	if errors.As(err, &e) {
		return e.Record
	}
	return nil
}
