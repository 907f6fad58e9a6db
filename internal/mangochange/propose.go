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

// proposal is a change on its way into the log.
type proposal struct {
	entry    *mangomessage.Entry
	expected uint64
	// unknown is set while an earlier write at version may still take effect.
	unknown bool
	version uint64
	// from is the revision of the head at the first write whose result was lost.
	from uint64
}

// Propose appends a change and returns its revision. A change whose id is in the log already gives the revision of
// then, so that a repeated proposal is harmless; an empty id is replaced by a random one.
func (l *Log) Propose(ctx context.Context, change *mangomessage.Change) (uint64, error) {
	entry, ok := proto.Clone(change.GetEntry()).(*mangomessage.Entry)
	if !ok || entry == nil {
		return 0, &Error{Op: "Propose", Kind: KindInvalid, Err: errors.New("change has no entry")}
	}
	if err := mangoprofile.Validate(entry); err != nil {
		return 0, &Error{Op: "Propose", Kind: KindInvalid, Err: err}
	}
	if entry.GetChangeId() == "" {
		entry.ChangeId = randomID()
	}
	p := &proposal{entry: entry, expected: change.GetExpectedRevision()}
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
	if kindOf(err) == KindBehind {
		err = l.Repair(ctx, l.latest())
		return 0, err == nil || kindOf(err) == KindContention, err
	}
	if err != nil {
		return 0, false, err
	}
	if revision, ok := accepted(s.head, book, p.entry); ok {
		p.unknown = false
		return revision, false, nil
	}
	if p.unknown && s.version > p.version && reaches(s.head, p.from) {
		p.unknown = false
	}
	next, err := p.apply(book)
	if err != nil {
		return 0, false, err
	}
	if tailBytes(s.head) > hardTailBytes {
		err = l.Compact(ctx)
		return 0, err == nil || kindOf(err) == KindContention, err
	}
	return l.write(ctx, p, s, next)
}

func (l *Log) write(ctx context.Context, p *proposal, s snapshot, next *mangoprofile.Book) (uint64, bool, error) {
	entries := next.Recent(1)
	head := extend(s.head, entries[0])
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

// apply checks the change against the book and returns the book after it.
func (p *proposal) apply(book *mangoprofile.Book) (*mangoprofile.Book, error) {
	kind, name := mangoprofile.EntryKind(p.entry), mangoprofile.EntryName(p.entry)
	if present := book.Entry(kind, name); present.GetRevision() != p.expected {
		return nil, &Error{Op: "Propose", Kind: KindConflict, Present: present, Err: errors.Errorf(
			"%s %q is at revision %d by %q, expected %d", kind, name, present.GetRevision(), present.GetAuthor(), p.expected)}
	}
	if err := book.Check(p.entry); err != nil {
		return nil, &Error{Op: "Propose", Kind: KindInvalid, Err: err}
	}
	entry, _ := proto.Clone(p.entry).(*mangomessage.Entry)
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
