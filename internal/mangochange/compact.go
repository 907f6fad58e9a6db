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
	// compactRetryChanges spaces attempts at an overdue compaction, so that concurrent writers do not all write its pages.
	compactRetryChanges = 16
	// cleanupTimeout bounds the deletion of pages, which goes on when the caller's context has ended.
	cleanupTimeout = 5 * time.Second
)

// Compact moves the changes of the tail to pages. A failure at any step leaves a readable log.
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

// compactIfDue compacts after an accepted change; a failure does not concern the change.
func (l *Log) compactIfDue(ctx context.Context, head *mangomessage.Head) {
	excess := len(head.GetTail()) - l.maxTailEntries
	due := excess > 0 && (excess-1)%compactRetryChanges == 0
	if !due && tailSize(head) <= l.maxTailBytes {
		return
	}
	if err := l.Compact(ctx); err != nil {
		l.logger.WithError(err).WithField("revision", head.GetRevision()).Warn("compaction failed")
	}
}

// writeBook writes the pages of the book that the head lacks, then a head with the book as its base.
func (l *Log) writeBook(ctx context.Context, op string, s headSnapshot, book *mangoprofile.Book) error {
	head := &mangomessage.Head{
		Revision: book.Revision(), BaseRevision: book.Revision(), RecentIds: recentIDsAt(s.head, book),
	}
	var written []*mangomessage.PageRef
	old := pageRefsByIndex(s.head)
	for i := range mangoprofile.Pages {
		ref, ok := old[i]
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

// replaceHead writes the head of a rebase. Pages that surely stay unreferenced are deleted, and those that the compaction
// before this one replaced.
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

func (l *Log) putPage(ctx context.Context, op string, i int, book *mangoprofile.Book) (*mangomessage.PageRef, error) {
	ref := &mangomessage.PageRef{Index: uint32(i), Revision: book.Revision(), Id: randomID()}
	raw, err := proto.Marshal(&mangomessage.Page{Entries: book.Page(i)})
	if err != nil {
		return nil, &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	version, err := l.store.Put(ctx, mangostore.Item{Key: pageKey(ref), Value: raw})
	if storeKind(err) == mangostore.KindUnknown {
		// The key is unique to this write, so a value that is present is this one.
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

// deletePages deletes pages on a best effort; one that stays costs space only.
func (l *Log) deletePages(ctx context.Context, refs []*mangomessage.PageRef) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	for _, ref := range refs {
		if err := l.store.Delete(ctx, pageKey(ref), ref.GetVersion()); err != nil {
			l.logger.WithError(err).WithField("page", pageKey(ref)).Debug("page was not deleted")
		}
	}
}

func pageRefsByIndex(head *mangomessage.Head) map[int]*mangomessage.PageRef {
	refs := map[int]*mangomessage.PageRef{}
	for _, ref := range head.GetPages() {
		refs[int(ref.GetIndex())] = ref
	}
	return refs
}

// recentIDsAt returns consecutive ids that end at the revision of the book.
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
		ids = []string{book.LastID()}
	}
	return ids
}
