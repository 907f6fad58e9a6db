package main

import (
	stderrors "errors"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// validateEntries checks the content of each entry and returns the errors of all of them. Entry hosts repeat the check when
// entries are proposed, and also check references to the entries in force.
func validateEntries(path string, entries []*mangomessage.Entry) error {
	var failures []error
	for _, e := range entries {
		e = proto.CloneOf(e)
		// Validate requires a change id and an author, which are set only when the change is proposed.
		e.ChangeId, e.Author = "check", "check"
		var invalid *mangoprofile.Error
		if err := mangoprofile.Validate(e); errors.As(err, &invalid) {
			failures = append(failures, errors.Errorf("%s: %s %q: %v", path, mangoprofile.EntryKind(e), mangoprofile.EntryName(e), invalid.Err))
		}
	}
	if len(failures) == 0 {
		return nil
	}
	return &Error{Op: "check", Kind: KindUsage, Err: stderrors.Join(failures...)}
}
