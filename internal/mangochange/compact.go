package mangochange

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// compactRetryChanges is the number of changes between attempts at an overdue compaction, so that concurrent writers do
	// not all write its pages.
	compactRetryChanges = 16
	// cleanupTimeout limits the deletion of pages, which continues after the caller's context has ended.
	cleanupTimeout = 5 * time.Second
)

// Compact moves the changes of the tail to pages. A failure at any step leaves the log readable.
func (l *Log) Compact(ctx context.Context) error {
	s, book, err := l.readHeadAndBook(ctx)
	if err != nil {
		return err
	}
	if len(s.head.GetTail()) == 0 {
		return nil
	}
	return l.writeBook(ctx, "Compact", s, book)
}

// compactIfDue compacts a tail that is above its limits, after a change was accepted. A failure is only logged, since it
// does not affect the change.
func (l *Log) compactIfDue(ctx context.Context, head *mangomessage.Head) {
	excess := len(head.GetTail()) - l.maxTailEntries
	due := excess > 0 && (excess-1)%compactRetryChanges == 0
	if !due && tailSize(head) <= l.maxTailBytes {
		return
	}
	if err := l.Compact(ctx); err != nil {
		l.logger.WithError(err).WithField("revision", head.GetRevision()).Warn("compaction of the change log failed")
	}
}

// writeBook stores a book as the base of a new head with an empty tail. It writes only the pages with changes that those of
// the present head lack, and keeps the others.
func (l *Log) writeBook(ctx context.Context, op string, s headSnapshot, book *mangoprofile.Book) error {
	head := &mangomessage.Head{
		Revision: book.Revision(), BaseRevision: book.Revision(), RecentIds: recentIDsAt(s.head, book),
	}
	var written []*mangomessage.PageRef
	present := pageRefsByIndex(s.head)
	for i := range mangoprofile.PageCount {
		ref, ok := present[i]
		if revision := book.PageRevision(i); revision == 0 || ok && revision <= ref.GetRevision() {
			if ok {
				head.Pages = append(head.Pages, ref)
			}
			continue
		}
		next, err := l.putPage(ctx, op, i, book)
		if err != nil {
			l.deletePages(ctx, written)
			return err
		}
		written = append(written, next)
		head.Pages = append(head.Pages, next)
		if ok {
			head.Retired = append(head.Retired, ref)
		}
	}
	return l.replaceHead(ctx, op, s, head, written, book)
}

// replaceHead replaces the head that was read by one that refers to the pages just written. When it has certainly failed,
// it deletes these pages. When it succeeds, it deletes the pages that the previous compaction replaced; those replaced
// now stay until the next one, for readers of the previous head.
func (l *Log) replaceHead(ctx context.Context, op string, s headSnapshot, head *mangomessage.Head,
	written []*mangomessage.PageRef, book *mangoprofile.Book,
) error {
	version, err := l.putHead(ctx, s.version, head)
	if storeKind(err) == mangostore.KindUnknown {
		return &Error{Op: op, Kind: KindUnknown, Err: err}
	}
	if err != nil {
		l.deletePages(ctx, written)
		kind := KindUnavailable
		if storeKind(err) == mangostore.KindConflict {
			kind = KindContention
		}
		return &Error{Op: op, Kind: kind, Err: err}
	}
	l.recordIfNewer(book, headPosition{version: version, revision: head.GetRevision()})
	l.deletePages(ctx, s.head.GetRetired())
	return nil
}

// putPage writes page i of a book under a new key and returns the reference to it.
func (l *Log) putPage(ctx context.Context, op string, i int, book *mangoprofile.Book) (*mangomessage.PageRef, error) {
	ref := &mangomessage.PageRef{Index: uint32(i), Revision: book.Revision(), Id: randomID()}
	raw, err := proto.Marshal(&mangomessage.Page{Entries: book.Page(i)})
	if err != nil {
		return nil, &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	version, err := l.store.Put(ctx, mangostore.Item{Key: pageKey(ref), Value: raw})
	if storeKind(err) == mangostore.KindUnknown {
		// The key is unique to this write, so a value under it shows that the write took effect.
		item, readErr := l.store.Get(ctx, pageKey(ref))
		if readErr == nil && item.Version != 0 {
			version, err = item.Version, nil
		}
	}
	if err != nil {
		return nil, unavailableError(op, err)
	}
	ref.Version = version
	return ref, nil
}

// deletePages deletes pages on a best-effort basis; a page that is not deleted only takes up space.
func (l *Log) deletePages(ctx context.Context, refs []*mangomessage.PageRef) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	for _, ref := range refs {
		if err := l.store.Delete(ctx, pageKey(ref), ref.GetVersion()); err != nil {
			l.logger.WithError(err).WithField("page", pageKey(ref)).Debug("unreferenced page not deleted")
		}
	}
}

// pageRefsByIndex returns the page references of a head by page index.
func pageRefsByIndex(head *mangomessage.Head) map[int]*mangomessage.PageRef {
	refs := map[int]*mangomessage.PageRef{}
	for _, ref := range head.GetPages() {
		refs[int(ref.GetIndex())] = ref
	}
	return refs
}

// recentIDsAt returns the ids of the latest changes up to the revision of the book, in order and without a gap. It uses the
// ids of the head where the book continues them.
func recentIDsAt(head *mangomessage.Head, book *mangoprofile.Book) []string {
	if head.GetRevision() == book.Revision() {
		return head.GetRecentIds()
	}
	var ids []string
	if entries, ok := book.Since(head.GetRevision()); ok {
		ids = append(ids, head.GetRecentIds()...)
		for _, e := range entries {
			ids = append(ids, e.GetChangeId())
		}
		return trimRecentIDs(ids)
	}
	for _, e := range book.Recent(maxRecentIDs) {
		ids = append(ids, e.GetChangeId())
	}
	if len(ids) == 0 {
		ids = []string{book.LastChangeID()}
	}
	return ids
}
