package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"mangopath.org/mangopath/internal/mangochange"
	"mangopath.org/mangopath/pkg/mangoclient"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// profilePut proposes the changes that bring the entries to the state in a profiles file.
func profilePut(ctx context.Context, c *cli.Command) error {
	s, list, wanted, err := readFileAndEntries(ctx, c)
	if err != nil {
		return err
	}
	return s.proposeEntries(ctx, c, list, wanted)
}

// readFileAndEntries returns the entries in force and the wanted entries of the file that --file names.
func readFileAndEntries(ctx context.Context, c *cli.Command) (*session, *mangomessage.EntryList, []*mangomessage.Entry, error) {
	if _, err := positionalArgs(c, 0, 0); err != nil {
		return nil, nil, nil, err
	}
	wanted, err := readProfiles("--file", c.String("file"))
	if err != nil {
		return nil, nil, nil, err
	}
	s, err := openSession(c)
	if err != nil {
		return nil, nil, nil, err
	}
	list, err := s.client.Entries(ctx, "")
	return s, list, wanted, err
}

// proposeEntries proposes the wanted entries that differ from those in list, and prints the new revision.
func (s *session) proposeEntries(ctx context.Context, c *cli.Command, list *mangomessage.EntryList, wanted []*mangomessage.Entry) error {
	changes := mangoclient.Plan(list, wanted, s.author)
	if err := checkBasedOn(c.Uint64("based-on"), list, changes); err != nil {
		return err
	}
	if len(changes) == 0 {
		return s.printChangeReply(&mangomessage.ChangeReply{Revision: list.GetRevision(), DryRun: c.Bool("dry-run")}, 0)
	}
	reply, err := s.proposeInBatches(ctx, changes, c.Bool("dry-run"))
	if err != nil {
		return err
	}
	return s.printChangeReply(reply, len(changes))
}

// proposeInBatches proposes changes in batches of up to mangochange.MaxChanges, each of which is accepted as a whole or not
// at all. If a batch fails, the earlier ones remain in force, and repeating the command proposes only the remaining changes.
func (s *session) proposeInBatches(ctx context.Context, changes []*mangomessage.Change, dryRun bool) (*mangomessage.ChangeReply, error) {
	var last *mangomessage.ChangeReply
	done := 0
	for batch := range slices.Chunk(changes, mangochange.MaxChanges) {
		reply, err := s.client.Propose(ctx, batch, dryRun)
		if err != nil && done > 0 {
			return nil, errors.Wrapf(err, "propose changes: %d of %d were accepted before the failure", done, len(changes))
		}
		if err != nil {
			return nil, err
		}
		last, done = reply, done+len(batch)
	}
	return last, nil
}

// printChangeReply prints the number of proposed changes and the revision after them.
func (s *session) printChangeReply(reply *mangomessage.ChangeReply, changes int) error {
	if s.json {
		return s.printJSON(reply)
	}
	if reply.GetDryRun() {
		return s.printLine("dry run: %d changes would be accepted at revision %d", changes, reply.GetRevision())
	}
	return s.printLine("%d changes accepted, revision %d", changes, reply.GetRevision())
}

// checkBasedOn returns a conflict if a change replaces an entry that has changed after revision basedOn; 0 allows all.
func checkBasedOn(basedOn uint64, list *mangomessage.EntryList, changes []*mangomessage.Change) error {
	if basedOn == 0 {
		return nil
	}
	for _, ch := range changes {
		if ch.GetExpectedRevision() > basedOn {
			e := ch.GetEntry()
			return basedOnConflict(mangoclient.Find(list, mangoclient.EntryKind(e), mangoclient.EntryName(e)), basedOn)
		}
	}
	return nil
}

// profileDiff prints what profilePut would change.
func profileDiff(ctx context.Context, c *cli.Command) error {
	s, list, wanted, err := readFileAndEntries(ctx, c)
	if err != nil {
		return err
	}
	changes := mangoclient.Plan(list, wanted, s.author)
	if s.json {
		return s.printJSON(&mangomessage.ChangeList{Changes: changes})
	}
	for _, ch := range changes {
		if err := s.printDiff(list, ch.GetEntry()); err != nil {
			return err
		}
	}
	return s.printLine("%d of %d entries differ from revision %d", len(changes), len(wanted), list.GetRevision())
}

// printDiff prints a new entry after a + sign, or a changed entry after a ~ sign with its changed fields.
func (s *session) printDiff(list *mangomessage.EntryList, wanted *mangomessage.Entry) error {
	kind, name := mangoclient.EntryKind(wanted), mangoclient.EntryName(wanted)
	old := mangoclient.Find(list, kind, name)
	if old == nil || old.GetRemoved() {
		return s.printLine("+ %s %s: %s", kind, name, summarise(wanted))
	}
	if err := s.printLine("~ %s %s (revision %d by %s)", kind, name, old.GetRevision(), old.GetAuthor()); err != nil {
		return err
	}
	for _, line := range fieldDiff(mangoclient.Content(old), mangoclient.Content(wanted)) {
		if err := s.printLine("    %s", line); err != nil {
			return err
		}
	}
	return nil
}

// fieldDiff returns a line for each field whose value differs between two messages of the same type.
func fieldDiff(old, wanted proto.Message) []string {
	var lines []string
	a, b := old.ProtoReflect(), wanted.ProtoReflect()
	fields := a.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if !a.Get(f).Equal(b.Get(f)) {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", f.Name(), fieldText(a, f), fieldText(b, f)))
		}
	}
	return lines
}

// fieldText returns the value of a field as text, or none if it is not set.
func fieldText(m protoreflect.Message, f protoreflect.FieldDescriptor) string {
	if !m.Has(f) {
		return "none"
	}
	return fmt.Sprint(m.Get(f).Interface())
}
