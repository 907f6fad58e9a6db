package mangochange

import (
	"context"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// ResolveFork resolves a fork between the store's history and that of the known book. The history at the higher revision is
// kept, and at equal revisions the one whose last change id is greater, so that all daemons decide alike. Changes that are
// only in the other history are dropped. They are not proposed again, since their expected revisions were checked against
// another history. It returns the book of the kept history, or the newer book when there is no fork.
func (l *Log) ResolveFork(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !l.backOff(ctx, attempt) {
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

// settleOnce makes one attempt of ResolveFork.
func (l *Log) settleOnce(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	s, err := l.readHead(ctx, "Settle")
	if err != nil {
		return known, err
	}
	position := headPosition{version: s.version, revision: s.head.GetRevision()}
	forked := checkCommonHistory("Settle", s.head, known) != nil
	if forked && !storeHistoryWins(s.head, known) {
		return known, l.overwriteStore(ctx, s, known)
	}
	if !forked && s.head.GetRevision() < known.Revision() {
		// This Log may hold a book of the dropped history.
		l.resetLatest(known, position)
		return known, l.writeBook(ctx, "Settle", s, known)
	}
	startBook := known
	if forked {
		startBook = mangoprofile.New()
	}
	book, err := l.loadBook(ctx, "Settle", startBook, s)
	if err != nil {
		return known, err
	}
	l.resetLatest(book, position)
	return book, nil
}

// storeHistoryWins reports whether ResolveFork keeps the store's history rather than that of the known book.
func storeHistoryWins(head *mangomessage.Head, known *mangoprofile.Book) bool {
	if head.GetRevision() != known.Revision() {
		return head.GetRevision() > known.Revision()
	}
	id, _ := changeIDAt(head, head.GetRevision())
	return id > known.LastChangeID()
}

// overwriteStore replaces the store's history by that of the known book. It writes all pages anew, since those of the other
// history may have changes that are dropped.
func (l *Log) overwriteStore(ctx context.Context, s headSnapshot, known *mangoprofile.Book) error {
	head := &mangomessage.Head{Revision: known.Revision(), BaseRevision: known.Revision(), Retired: s.head.GetPages()}
	head.RecentIds = recentIDsAt(&mangomessage.Head{}, known)
	var written []*mangomessage.PageRef
	for i := range mangoprofile.PageCount {
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
	if err := l.replaceHead(ctx, "Settle", s, head, written, known); err != nil {
		return err
	}
	l.resetLatest(known, headPosition{})
	return nil
}

// resetLatest sets the book and the head position of this Log, also to older ones. A zero position leaves the position as
// it is.
func (l *Log) resetLatest(book *mangoprofile.Book, position headPosition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book = book
	if position.version != 0 {
		l.lastSeen = position
	}
}

// ForkDetail returns the text of an error of KindFork, for an alarm. It returns false for other errors.
func ForkDetail(err error) (string, bool) {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindFork {
		return e.Err.Error(), true
	}
	return "", false
}
