package main

import (
	stderrors "errors"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// validateEntries checks the content of entries and reports the faults of all of them; the entry hosts check again,
// together with the rest of the book.
func validateEntries(path string, entries []*mangomessage.Entry) error {
	var faults []error
	for _, e := range entries {
		e = proto.CloneOf(e)
		// Ids and authors are given when the change is proposed.
		e.ChangeId, e.Author = "check", "check"
		var invalid *mangoprofile.Error
		if err := mangoprofile.Validate(e); errors.As(err, &invalid) {
			faults = append(faults, errors.Errorf("%s: %s %q: %v", path, mangoprofile.EntryKind(e), mangoprofile.EntryName(e), invalid.Err))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return &Error{Op: "check", Kind: KindUsage, Err: stderrors.Join(faults...)}
}
