package mangochange

import (
	"context"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Settle ends a fork: of the store's history and the known one, the one at the higher revision stays, and at the same
// revision the one whose last change id is greater, so that all daemons decide alike. The changes that only the other
// one has are dropped and not proposed again, since their expected revisions were checked against another history. The
// returned book is the one that stays. Without a fork it returns the newer book.
func (l *Log) Settle(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	var err error
	for attempt := range attempts {
		if attempt > 0 && !l.pause(ctx, attempt) {
			break
		}
		var book *mangoprofile.Book
		book, err = l.settleOnce(ctx, known)
		if kind := kindOf(err); kind != KindContention && kind != KindUnknown {
			return book, err
		}
	}
	return known, err
}

func (l *Log) settleOnce(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	s, err := l.readHead(ctx, "Settle")
	if err != nil {
		return known, err
	}
	at := position{version: s.version, revision: s.head.GetRevision()}
	forked := checkLineage("Settle", s.head, known) != nil
	if forked && !headStays(s.head, known) {
		return known, l.overwrite(ctx, s, known)
	}
	if !forked && s.head.GetRevision() < known.Revision() {
		// The log itself may have followed the history that lost.
		l.replace(known, at)
		return known, l.rebase(ctx, "Settle", s, known)
	}
	base := known
	if forked {
		base = mangoprofile.New()
	}
	book, err := l.load(ctx, "Settle", base, s)
	if err != nil {
		return known, err
	}
	l.replace(book, at)
	return book, nil
}

// headStays reports whether the store's history outlasts the known one.
func headStays(head *mangomessage.Head, known *mangoprofile.Book) bool {
	if head.GetRevision() != known.Revision() {
		return head.GetRevision() > known.Revision()
	}
	id, _ := idAt(head, head.GetRevision())
	return id > known.LastID()
}

// overwrite replaces the store's history by the known one. No page of the other history is kept.
func (l *Log) overwrite(ctx context.Context, s snapshot, known *mangoprofile.Book) error {
	head := &mangomessage.Head{Revision: known.Revision(), BaseRevision: known.Revision(), Retired: s.head.GetPages()}
	head.RecentIds = idsOf(&mangomessage.Head{}, known)
	var written []*mangomessage.PageRef
	for i := range mangoprofile.Pages {
		if known.PageRevision(i) == 0 {
			continue
		}
		ref, err := l.putPage(ctx, "Settle", i, known)
		if err != nil {
			l.deletePages(ctx, written)
			return err
		}
		written = append(written, ref)
	}
	head.Pages = written
	if err := l.swap(ctx, "Settle", s, head, written, known); err != nil {
		return err
	}
	l.replace(known, position{})
	return nil
}

// replace makes a book the one that the log saw last, whatever it saw before. An empty position keeps the known one.
func (l *Log) replace(book *mangoprofile.Book, at position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book = book
	if at.version != 0 {
		l.seen = at
	}
}

// ForkDetail describes an error of KindFork for an alarm, false for other errors.
func ForkDetail(err error) (string, bool) {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindFork {
		return e.Err.Error(), true
	}
	return "", false
}
