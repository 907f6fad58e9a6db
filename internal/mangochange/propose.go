package mangochange

import (
	"context"
	"crypto/rand"
	mrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// MaxChanges is the largest number of changes in one proposal. The limit ensures that the head keeps the ids of all of them.
const MaxChanges = maxRecentIDs / 2

// proposal is a list of changes that are to be appended together, and the state of the attempts to do so.
type proposal struct {
	changes []*mangomessage.Change
	// outcomeUnknown is set while a write of the head, whose reply was lost, may have taken effect or may still do so.
	outcomeUnknown bool
	// unknownVersion is the version of the head that the latest such write was to replace.
	unknownVersion uint64
	// unknownSince is the revision of the head before the first such write.
	unknownSince uint64
}

// newProposal checks each change without regard to the present configuration, and gives a random id to those without one.
func newProposal(op string, changes []*mangomessage.Change) (*proposal, error) {
	if len(changes) == 0 || len(changes) > MaxChanges {
		return nil, &Error{Op: op, Kind: KindInvalid, Err: errors.Errorf("proposal has %d changes, 1 to %d are allowed", len(changes), MaxChanges)}
	}
	p := &proposal{}
	for _, c := range changes {
		if c.GetEntry() == nil {
			return nil, &Error{Op: op, Kind: KindInvalid, Err: errors.New("change has no entry")}
		}
		if err := mangoprofile.Validate(c.GetEntry()); err != nil {
			return nil, &Error{Op: op, Kind: KindInvalid, Err: err}
		}
		c = proto.CloneOf(c)
		if c.Entry.ChangeId == "" {
			c.Entry.ChangeId = randomID()
		}
		p.changes = append(p.changes, c)
	}
	return p, nil
}

// Propose appends changes, all or none, and returns the revision after the last of them. Changes whose ids are already in
// the log count as accepted, so a proposal can be repeated safely. An empty id is replaced by a random one.
func (l *Log) Propose(ctx context.Context, changes ...*mangomessage.Change) (uint64, error) {
	p, err := newProposal("Propose", changes)
	if err != nil {
		return 0, err
	}
	for attempt := range maxAttempts {
		if attempt > 0 && !l.backOff(ctx, attempt) {
			break
		}
		revision, retry, err := l.proposeOnce(ctx, p)
		if !retry {
			return revision, p.finalError(err)
		}
	}
	return 0, p.finalError(&Error{Op: "Propose", Kind: KindContention, Err: errors.New("other writers changed the head at every attempt")})
}

// Check returns the error that Propose would return for the changes now, without writing them, and the revision that it
// checked against.
func (l *Log) Check(ctx context.Context, changes ...*mangomessage.Change) (uint64, error) {
	p, err := newProposal("Check", changes)
	if err != nil {
		return 0, err
	}
	s, book, err := l.readHeadAndBook(ctx)
	if err != nil {
		return 0, err
	}
	pending, _ := p.pending(s.head, book)
	_, err = applyChanges(book, pending)
	return book.Revision(), err
}

// pending returns the changes that are not accepted yet, and the highest revision of those that are.
func (p *proposal) pending(head *mangomessage.Head, book *mangoprofile.Book) ([]*mangomessage.Change, uint64) {
	var pending []*mangomessage.Change
	var last uint64
	for _, c := range p.changes {
		if revision, ok := acceptedRevision(head, book, c.GetEntry()); ok {
			last = max(last, revision)
			continue
		}
		pending = append(pending, c)
	}
	return pending, last
}

// finalError returns the error of the whole proposal. While the outcome of an earlier write is unknown it is KindUnknown,
// since the other kinds state that the changes had no effect.
func (p *proposal) finalError(err error) error {
	if err == nil || !p.outcomeUnknown {
		return err
	}
	return &Error{Op: "Propose", Kind: KindUnknown, Err: err}
}

// proposeOnce makes one attempt and returns the revision of the changes, whether to try again, and the error. It first
// repairs a store that is behind, and compacts a tail above forcedCompactionBytes.
func (l *Log) proposeOnce(ctx context.Context, p *proposal) (uint64, bool, error) {
	s, book, err := l.readHeadAndBook(ctx)
	if kindOf(err) == KindStoreBehind {
		err = l.Repair(ctx, l.latestBook())
		return 0, err == nil || kindOf(err) == KindContention, err
	}
	if err != nil {
		return 0, false, err
	}
	pending, last := p.pending(s.head, book)
	if len(pending) == 0 {
		p.outcomeUnknown = false
		return last, false, nil
	}
	// The lost write can no longer take effect, since the head has left the version that it was to replace, and it has had no
	// effect, since the head has all ids since then and not those of the pending changes.
	if p.outcomeUnknown && s.version > p.unknownVersion && hasIDsSince(s.head, p.unknownSince) {
		p.outcomeUnknown = false
	}
	next, err := applyChanges(book, pending)
	if err != nil {
		return 0, false, err
	}
	if tailSize(s.head) > forcedCompactionBytes {
		err = l.Compact(ctx)
		return 0, err == nil || kindOf(err) == KindContention, err
	}
	return l.writeChanges(ctx, p, s, next, len(pending))
}

// writeChanges replaces the head that was read by one with the n newest entries of a book added to the tail. It returns the
// same values as proposeOnce.
func (l *Log) writeChanges(ctx context.Context, p *proposal, s headSnapshot, next *mangoprofile.Book, n int) (uint64, bool, error) {
	head := s.head
	for _, e := range next.Recent(n) {
		head = appendEntry(head, e)
	}
	version, err := l.putHead(ctx, s.version, head)
	kind := storeKind(err)
	switch {
	case err == nil:
		p.outcomeUnknown = false
		l.recordIfNewer(next, headPosition{version: version, revision: head.GetRevision()})
		l.compactIfDue(ctx, head)
		return head.GetRevision(), false, nil
	case kind == mangostore.KindConflict:
		return 0, true, nil
	case kind == mangostore.KindUnknown:
		if !p.outcomeUnknown {
			p.outcomeUnknown, p.unknownSince = true, s.head.GetRevision()
		}
		p.unknownVersion = s.version
		return 0, true, nil
	default:
		return 0, false, unavailableError("Propose", err)
	}
}

// applyChanges returns the book after all changes. It checks each change against the book after the previous ones.
func applyChanges(book *mangoprofile.Book, changes []*mangomessage.Change) (*mangoprofile.Book, error) {
	var err error
	for _, c := range changes {
		if book, err = applyChange(book, c); err != nil {
			return nil, err
		}
	}
	return book, nil
}

// applyChange returns the book after one change. The errors are KindConflict when the entry is not at the expected
// revision, and KindInvalid when the book does not allow the entry or the entry's page would become too large.
func applyChange(book *mangoprofile.Book, c *mangomessage.Change) (*mangoprofile.Book, error) {
	kind, name := mangoprofile.EntryKind(c.Entry), mangoprofile.EntryName(c.Entry)
	if present := book.Entry(kind, name); present.GetRevision() != c.GetExpectedRevision() {
		return nil, &Error{Op: "Propose", Kind: KindConflict, Present: present, Err: errors.Errorf(
			"%s %q is at revision %d by %q, expected %d",
			kind, name, present.GetRevision(), present.GetAuthor(), c.GetExpectedRevision())}
	}
	if err := book.Check(c.Entry); err != nil {
		return nil, &Error{Op: "Propose", Kind: KindInvalid, Err: err}
	}
	entry := proto.CloneOf(c.Entry)
	entry.Revision = book.Revision() + 1
	next, err := book.With(entry)
	if err != nil {
		return nil, &Error{Op: "Propose", Kind: KindInvalid, Err: err}
	}
	page := &mangomessage.Page{Entries: next.Page(mangoprofile.PageOf(kind, name))}
	if size := proto.Size(page); size > maxPageBytes {
		return nil, &Error{Op: "Propose", Kind: KindInvalid, Err: errors.Errorf(
			"page of %s %q would have %d bytes, at most %d are allowed", kind, name, size, maxPageBytes)}
	}
	return next, nil
}

// putHead writes the head if its key is still at a version, and returns the new version.
func (l *Log) putHead(ctx context.Context, version uint64, head *mangomessage.Head) (uint64, error) {
	raw, err := proto.Marshal(head)
	if err != nil {
		return 0, &Error{Op: "Head", Kind: KindInvalid, Err: err}
	}
	return l.store.Put(ctx, mangostore.Item{Key: HeadKey, Value: raw, Version: version})
}

// backOff waits before an attempt, counted from 0, and returns false when ctx ends first. The backoff doubles with each
// attempt up to maxBackoff; the wait is random, from 1/4 to 5/4 of it.
func (l *Log) backOff(ctx context.Context, attempt int) bool {
	backoff := min(l.baseBackoff<<attempt, l.maxBackoff)
	timer := time.NewTimer(backoff/4 + mrand.N(backoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func randomID() string { return rand.Text()[:16] }
