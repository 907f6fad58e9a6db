package mangochange

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Poll returns the book at the store's head, or the newest known one with an error. The book is never nil and never
// older than known. KindBehind asks for Repair.
func (l *Log) Poll(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	book, err := l.start("Poll", known)
	if err != nil {
		return known, err
	}
	s, changed, err := l.readNewer(ctx, book)
	if err != nil || !changed {
		return book, err
	}
	next, err := l.load(ctx, "Poll", book, s)
	if kindOf(err) == KindCorrupt {
		// A page may have been deleted by compactions since the head was read.
		if s, err = l.readHead(ctx, "Poll"); err == nil {
			next, err = l.load(ctx, "Poll", book, s)
		}
	}
	if err != nil {
		return book, err
	}
	l.adopt(next, position{version: s.version, revision: s.head.GetRevision()})
	return next, nil
}

// readNewer reads the head, and only if its version is above the one seen last where that is enough to know.
func (l *Log) readNewer(ctx context.Context, book *mangoprofile.Book) (snapshot, bool, error) {
	l.mu.Lock()
	seen := l.seen
	full := l.polls%fullPoll == 0 || seen.version == 0 || book.Revision() > seen.revision
	l.polls++
	l.mu.Unlock()
	if full {
		s, err := l.readHead(ctx, "Poll")
		return s, true, err
	}
	item, changed, err := l.store.GetAfter(ctx, HeadKey, seen.version)
	if err != nil {
		return snapshot{}, false, unavailable("Poll", err)
	}
	if !changed {
		return snapshot{}, false, nil
	}
	head, err := decodeHead(item)
	return snapshot{version: item.Version, head: head}, true, err
}

// catchUp reads the head and the book at it.
func (l *Log) catchUp(ctx context.Context) (snapshot, *mangoprofile.Book, error) {
	s, err := l.readHead(ctx, "Propose")
	if err != nil {
		return s, nil, err
	}
	book, err := l.load(ctx, "Propose", l.latest(), s)
	if err != nil {
		return s, nil, err
	}
	l.adopt(book, position{version: s.version, revision: s.head.GetRevision()})
	return s, book, nil
}

// load brings a book to the revision of the head. It fetches only pages that changed since the book.
func (l *Log) load(ctx context.Context, op string, book *mangoprofile.Book, s snapshot) (*mangoprofile.Book, error) {
	if err := checkLineage(op, s.head, book); err != nil {
		return nil, err
	}
	if s.head.GetRevision() < book.Revision() {
		return nil, &Error{Op: op, Kind: KindStoreBehind, Err: errors.Errorf(
			"store is at revision %d, known is %d", s.head.GetRevision(), book.Revision())}
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
		return nil, unavailable(op, err)
	}
	return decodePage(op, item)
}

func decodePage(op string, item mangostore.Item) (*mangomessage.Page, error) {
	if item.Version == 0 {
		return nil, &Error{Op: op, Kind: KindCorrupt, Err: errors.Errorf("page %q is missing", item.Key)}
	}
	page := &mangomessage.Page{}
	if err := proto.Unmarshal(item.Value, page); err != nil {
		return nil, &Error{Op: op, Kind: KindCorrupt, Err: errors.WithMessagef(err, "page %q", item.Key)}
	}
	return page, nil
}
