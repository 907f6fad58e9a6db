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

func profilePut(ctx context.Context, c *cli.Command) error {
	s, list, wanted, err := readForPut(ctx, c)
	if err != nil {
		return err
	}
	return s.put(ctx, c, list, wanted)
}

func readForPut(ctx context.Context, c *cli.Command) (*session, *mangomessage.EntryList, []*mangomessage.Entry, error) {
	if _, err := arguments(c, 0, 0); err != nil {
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

// put proposes what differs from the entries that were read, and prints the revision.
func (s *session) put(ctx context.Context, c *cli.Command, list *mangomessage.EntryList, wanted []*mangomessage.Entry) error {
	changes := mangoclient.Plan(list, wanted, s.author)
	if err := checkBase(c.Uint64("based-on"), list, changes); err != nil {
		return err
	}
	if len(changes) == 0 {
		return s.reply(&mangomessage.ChangeReply{Revision: list.GetRevision(), DryRun: c.Bool("dry-run")}, 0)
	}
	reply, err := s.propose(ctx, changes, c.Bool("dry-run"))
	if err != nil {
		return err
	}
	return s.reply(reply, len(changes))
}

// propose sends changes in batches that an entry host accepts as a whole; a batch that fails leaves those before it
// in force, and the same command again goes on from there.
func (s *session) propose(ctx context.Context, changes []*mangomessage.Change, dryRun bool) (*mangomessage.ChangeReply, error) {
	var last *mangomessage.ChangeReply
	done := 0
	for batch := range slices.Chunk(changes, mangochange.MaxChanges) {
		reply, err := s.client.Propose(ctx, batch, dryRun)
		if err != nil && done > 0 {
			return nil, errors.Wrapf(err, "after %d of %d changes were accepted", done, len(changes))
		}
		if err != nil {
			return nil, err
		}
		last, done = reply, done+len(batch)
	}
	return last, nil
}

func (s *session) reply(reply *mangomessage.ChangeReply, changes int) error {
	if s.json {
		return s.message(reply)
	}
	if reply.GetDryRun() {
		return s.line("dry run: %d changes would be accepted at revision %d", changes, reply.GetRevision())
	}
	return s.line("%d changes accepted, revision %d", changes, reply.GetRevision())
}

// checkBase refuses changes of entries that are newer than the book that a file was written for; 0 allows all.
func checkBase(basedOn uint64, list *mangomessage.EntryList, changes []*mangomessage.Change) error {
	if basedOn == 0 {
		return nil
	}
	for _, ch := range changes {
		if ch.GetExpectedRevision() > basedOn {
			e := ch.GetEntry()
			return conflictWith(mangoclient.Find(list, mangoclient.EntryKind(e), mangoclient.EntryName(e)), basedOn)
		}
	}
	return nil
}

func profileDiff(ctx context.Context, c *cli.Command) error {
	s, list, wanted, err := readForPut(ctx, c)
	if err != nil {
		return err
	}
	changes := mangoclient.Plan(list, wanted, s.author)
	if s.json {
		return s.message(&mangomessage.ChangeList{Changes: changes})
	}
	for _, ch := range changes {
		if err := s.diff(list, ch.GetEntry()); err != nil {
			return err
		}
	}
	return s.line("%d of %d entries differ from revision %d", len(changes), len(wanted), list.GetRevision())
}

// diff prints an entry with a sign, + for new and ~ for changed, and its changed fields.
func (s *session) diff(list *mangomessage.EntryList, wanted *mangomessage.Entry) error {
	kind, name := mangoclient.EntryKind(wanted), mangoclient.EntryName(wanted)
	old := mangoclient.Find(list, kind, name)
	if old == nil || old.GetRemoved() {
		return s.line("+ %s %s: %s", kind, name, summary(wanted))
	}
	if err := s.line("~ %s %s (revision %d by %s)", kind, name, old.GetRevision(), old.GetAuthor()); err != nil {
		return err
	}
	for _, line := range fieldDiff(mangoclient.Content(old), mangoclient.Content(wanted)) {
		if err := s.line("    %s", line); err != nil {
			return err
		}
	}
	return nil
}

// fieldDiff returns a line for each field in which two messages of one type differ.
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

func fieldText(m protoreflect.Message, f protoreflect.FieldDescriptor) string {
	if !m.Has(f) {
		return "none"
	}
	return fmt.Sprint(m.Get(f).Interface())
}
