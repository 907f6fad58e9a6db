package mangochange

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Poll returns the book at the store's head, or the newest known one with an error. The book is never nil and never older
// than known. After KindStoreBehind the caller should call Repair, and after KindFork ResolveFork.
func (l *Log) Poll(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	book, err := l.newerBook("Poll", known)
	if err != nil {
		return known, err
	}
	s, isNew, err := l.readHeadIfNewer(ctx, book)
	if err != nil || !isNew {
		return book, err
	}
	s, next, err := l.loadCurrentBook(ctx, "Poll", book, s)
	if err != nil {
		return book, err
	}
	l.recordIfNewer(next, headPosition{version: s.version, revision: s.head.GetRevision()})
	return next, nil
}

// readHeadIfNewer reads the head if its version is above the one seen last, and reports whether it did. It reads the head
// whatever its version once in fullPollInterval polls, when no head was seen yet and when the book is newer than the head
// seen last.
func (l *Log) readHeadIfNewer(ctx context.Context, book *mangoprofile.Book) (headSnapshot, bool, error) {
	l.mu.Lock()
	lastSeen := l.lastSeen
	anyVersion := l.pollCount%fullPollInterval == 0 || lastSeen.version == 0 || book.Revision() > lastSeen.revision
	l.pollCount++
	l.mu.Unlock()
	if anyVersion {
		s, err := l.readHead(ctx, "Poll")
		return s, true, err
	}
	item, changed, err := l.store.GetAfter(ctx, HeadKey, lastSeen.version)
	if err != nil {
		return headSnapshot{}, false, unavailableError("Poll", err)
	}
	if !changed {
		return headSnapshot{}, false, nil
	}
	head, err := decodeHead(item)
	return headSnapshot{version: item.Version, head: head}, true, err
}

// readHeadAndBook reads the head and returns it with the book at its revision.
func (l *Log) readHeadAndBook(ctx context.Context) (headSnapshot, *mangoprofile.Book, error) {
	s, err := l.readHead(ctx, "Propose")
	if err != nil {
		return s, nil, err
	}
	s, book, err := l.loadCurrentBook(ctx, "Propose", l.latestBook(), s)
	if err != nil {
		return s, nil, err
	}
	l.recordIfNewer(book, headPosition{version: s.version, revision: s.head.GetRevision()})
	return s, book, nil
}

// loadCurrentBook is loadBook with a later head in place of one whose pages were deleted by a compaction since it was read.
// It returns that head. A head that is still current and lacks a page is corrupt.
func (l *Log) loadCurrentBook(ctx context.Context, op string, book *mangoprofile.Book, s headSnapshot) (headSnapshot, *mangoprofile.Book, error) {
	for {
		next, err := l.loadBook(ctx, op, book, s)
		if kindOf(err) != KindCorrupt {
			return s, next, err
		}
		later, headErr := l.readHead(ctx, op)
		if headErr != nil || later.version == s.version {
			return s, nil, err
		}
		s = later
	}
}

// loadBook returns the book at the revision of the head. It starts from an older book and fetches only the pages that
// changed since. The error is KindStoreBehind when the head is older than the book.
func (l *Log) loadBook(ctx context.Context, op string, book *mangoprofile.Book, s headSnapshot) (*mangoprofile.Book, error) {
	if err := checkCommonHistory(op, s.head, book); err != nil {
		return nil, err
	}
	if s.head.GetRevision() < book.Revision() {
		return nil, &Error{Op: op, Kind: KindStoreBehind, Err: errors.Errorf(
			"store is at revision %d, known book at %d", s.head.GetRevision(), book.Revision())}
	}
	if book.Revision() < s.head.GetBaseRevision() {
		next, err := l.loadPages(ctx, op, book, s.head)
		if err != nil {
			return nil, err
		}
		book = next
	}
	next, err := book.With(s.head.GetTail()[book.Revision()-s.head.GetBaseRevision():]...)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindCorrupt, Err: err}
	}
	return next, nil
}

// loadPages returns the book at the base revision of the head, from an older book and the pages that changed since.
func (l *Log) loadPages(
	ctx context.Context, op string, book *mangoprofile.Book, head *mangomessage.Head,
) (*mangoprofile.Book, error) {
	pages := map[int][]*mangomessage.Entry{}
	for _, ref := range head.GetPages() {
		if ref.GetRevision() <= book.Revision() {
			continue
		}
		page, err := l.loadPage(ctx, op, ref)
		if err != nil {
			return nil, err
		}
		pages[int(ref.GetIndex())] = page.GetEntries()
	}
	next, err := book.WithPages(head.GetBaseRevision(), pages)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindCorrupt, Err: err}
	}
	return next, nil
}

func (l *Log) loadPage(ctx context.Context, op string, ref *mangomessage.PageRef) (*mangomessage.Page, error) {
	item, err := l.store.Get(ctx, pageKey(ref))
	if err != nil {
		return nil, unavailableError(op, err)
	}
	return decodePage(op, item)
}

func decodePage(op string, item mangostore.Item) (*mangomessage.Page, error) {
	if item.Version == 0 {
		return nil, &Error{Op: op, Kind: KindCorrupt, Err: errors.Errorf("page %q does not exist in the store", item.Key)}
	}
	page := &mangomessage.Page{}
	if err := proto.Unmarshal(item.Value, page); err != nil {
		return nil, &Error{Op: op, Kind: KindCorrupt, Err: errors.WithMessagef(err, "page %q cannot be decoded", item.Key)}
	}
	return page, nil
}
