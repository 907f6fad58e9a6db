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

// MaxChanges bounds the changes of one proposal, so that the head keeps the ids of all of them.
const MaxChanges = recentIDs / 2

// proposal is a list of changes on its way into the log.
type proposal struct {
	changes []*mangomessage.Change
	// unknown is set while an earlier write at version may still take effect.
	unknown bool
	version uint64
	// from is the revision of the head at the first write whose result was lost.
	from uint64
}

// newProposal checks changes by themselves and gives ids to those that have none.
func newProposal(op string, changes []*mangomessage.Change) (*proposal, error) {
	if len(changes) == 0 || len(changes) > MaxChanges {
		return nil, &Error{Op: op, Kind: KindInvalid, Err: errors.Errorf("%d changes; 1 to %d are allowed", len(changes), MaxChanges)}
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

// Propose appends changes, all or none, and returns the revision that holds them. Changes whose ids are in the log
// already count as accepted, so that a repeated proposal is harmless; an empty id is replaced by a random one.
func (l *Log) Propose(ctx context.Context, changes ...*mangomessage.Change) (uint64, error) {
	p, err := newProposal("Propose", changes)
	if err != nil {
		return 0, err
	}
	for attempt := range attempts {
		if attempt > 0 && !l.pause(ctx, attempt) {
			break
		}
		revision, again, err := l.attempt(ctx, p)
		if !again {
			return revision, p.result(err)
		}
	}
	return 0, p.result(&Error{Op: "Propose", Kind: KindContention, Err: errors.New("other writers won every attempt")})
}

// Check tells whether the changes would be accepted now, and returns the revision that it checked against.
func (l *Log) Check(ctx context.Context, changes ...*mangomessage.Change) (uint64, error) {
	p, err := newProposal("Check", changes)
	if err != nil {
		return 0, err
	}
	s, book, err := l.catchUp(ctx)
	if err != nil {
		return 0, err
	}
	pending, _ := p.pending(s.head, book)
	_, err = apply(book, pending)
	return book.Revision(), err
}

// pending returns the changes that are not yet accepted and the highest revision of those that are.
func (p *proposal) pending(head *mangomessage.Head, book *mangoprofile.Book) ([]*mangomessage.Change, uint64) {
	var pending []*mangomessage.Change
	var last uint64
	for _, c := range p.changes {
		if revision, ok := accepted(head, book, c.GetEntry()); ok {
			last = max(last, revision)
			continue
		}
		pending = append(pending, c)
	}
	return pending, last
}

// result replaces an error that denies an effect while an earlier write is unresolved.
func (p *proposal) result(err error) error {
	if err == nil || !p.unknown {
		return err
	}
	return &Error{Op: "Propose", Kind: KindUnknown, Err: err}
}

// attempt tries once and reports whether to try again.
func (l *Log) attempt(ctx context.Context, p *proposal) (uint64, bool, error) {
	s, book, err := l.catchUp(ctx)
	if kindOf(err) == KindStoreBehind {
		err = l.Repair(ctx, l.latest())
		return 0, err == nil || kindOf(err) == KindContention, err
	}
	if err != nil {
		return 0, false, err
	}
	pending, last := p.pending(s.head, book)
	if len(pending) == 0 {
		p.unknown = false
		return last, false, nil
	}
	if p.unknown && s.version > p.version && reaches(s.head, p.from) {
		p.unknown = false
	}
	next, err := apply(book, pending)
	if err != nil {
		return 0, false, err
	}
	if tailBytes(s.head) > hardTailBytes {
		err = l.Compact(ctx)
		return 0, err == nil || kindOf(err) == KindContention, err
	}
	return l.write(ctx, p, s, next, len(pending))
}

// write swaps the head for one that holds the n newest entries of a book as well.
func (l *Log) write(ctx context.Context, p *proposal, s snapshot, next *mangoprofile.Book, n int) (uint64, bool, error) {
	head := s.head
	for _, e := range next.Recent(n) {
		head = extend(head, e)
	}
	version, err := l.putHead(ctx, s.version, head)
	kind := storeKind(err)
	switch {
	case err == nil:
		p.unknown = false
		l.adopt(next, position{version: version, revision: head.GetRevision()})
		l.compactIfDue(ctx, head)
		return head.GetRevision(), false, nil
	case kind == mangostore.KindConflict:
		return 0, true, nil
	case kind == mangostore.KindUnknown:
		if !p.unknown {
			p.unknown, p.from = true, s.head.GetRevision()
		}
		p.version = s.version
		return 0, true, nil
	default:
		return 0, false, unavailable("Propose", err)
	}
}

// apply checks changes, each against the book after those before it, and returns the book after all of them.
func apply(book *mangoprofile.Book, changes []*mangomessage.Change) (*mangoprofile.Book, error) {
	var err error
	for _, c := range changes {
		if book, err = applyOne(book, c); err != nil {
			return nil, err
		}
	}
	return book, nil
}

func applyOne(book *mangoprofile.Book, c *mangomessage.Change) (*mangoprofile.Book, error) {
	kind, name := mangoprofile.EntryKind(c.Entry), mangoprofile.EntryName(c.Entry)
	if present := book.Entry(kind, name); present.GetRevision() != c.GetExpectedRevision() {
		return nil, &Error{Op: "Propose", Kind: KindConflict, Present: present, Err: errors.Errorf(
			"%s %q is at revision %d by %q, expected %d", kind, name, present.GetRevision(), present.GetAuthor(), c.GetExpectedRevision())}
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

func (l *Log) putHead(ctx context.Context, version uint64, head *mangomessage.Head) (uint64, error) {
	raw, err := proto.Marshal(head)
	if err != nil {
		return 0, &Error{Op: "Head", Kind: KindInvalid, Err: err}
	}
	return l.store.Put(ctx, mangostore.Item{Key: HeadKey, Value: raw, Version: version})
}

// pause waits a random time that grows with the attempts, and reports whether ctx is still live.
func (l *Log) pause(ctx context.Context, attempt int) bool {
	limit := min(l.first<<attempt, l.most)
	timer := time.NewTimer(limit/4 + mrand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func randomID() string { return rand.Text()[:16] }
