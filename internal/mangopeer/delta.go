package mangopeer

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxDeltaBytes bounds the changes in one exchange; a receiver that is further behind gets the rest with the next ones.
const maxDeltaBytes = 256 << 10

// maxFetchRounds bounds the passes over the pages of a peer whose book changes during the fetch.
const maxFetchRounds = 5

// Delta returns the entries of the book after a revision, in order and up to maxDeltaBytes. It reports false when the
// book no longer keeps them, in which case the receiver has to fetch the pages.
func Delta(book *mangoprofile.Book, since uint64) ([]*mangomessage.Entry, bool) {
	entries, ok := book.Since(since)
	size := 0
	for i, e := range entries {
		size += proto.Size(e)
		if size > maxDeltaBytes && i > 0 {
			return entries[:i], ok
		}
	}
	return entries, ok
}

// Apply returns the book with changes of a peer that follow revision from. Entries that the book already has are
// skipped. On an error, which is KindGap or KindFork, it returns the given book.
func Apply(book *mangoprofile.Book, from uint64, changes []*mangomessage.Entry) (*mangoprofile.Book, error) {
	if len(changes) == 0 {
		return book, nil
	}
	if from > book.Revision() {
		return book, &Error{Op: "Apply", Kind: KindGap, Err: errors.Errorf("the peer's changes follow revision %d, the known book is at %d", from, book.Revision())}
	}
	for len(changes) > 0 && changes[0].GetRevision() <= book.Revision() {
		if id, ok := book.ChangeIDAt(changes[0].GetRevision()); ok && id != changes[0].GetChangeId() {
			return book, &Error{Op: "Apply", Kind: KindFork, Err: errors.Errorf(
				"revision %d is change %q in the known book and %q at the peer", changes[0].GetRevision(), id, changes[0].GetChangeId())}
		}
		changes = changes[1:]
	}
	next, err := book.With(changes...)
	if err != nil {
		return book, &Error{Op: "Apply", Kind: KindGap, Err: err}
	}
	return next, nil
}

// PageFetcher reads one page of a peer's book.
type PageFetcher func(ctx context.Context, request *mangomessage.FetchRequest) (*mangomessage.FetchReply, error)

// FetchBook reads the pages of a peer's book until all are of one revision. It returns known when the peer's book is
// not newer, and with every error.
func FetchBook(ctx context.Context, known *mangoprofile.Book, fetch PageFetcher) (*mangoprofile.Book, error) {
	revisions := map[int]uint64{}
	pages := map[int][]*mangomessage.Entry{}
	var newest uint64
	for range maxFetchRounds {
		for i := range mangoprofile.PageCount {
			if revision, ok := revisions[i]; ok && revision == newest {
				continue
			}
			reply, err := fetch(ctx, &mangomessage.FetchRequest{Page: uint32(i)})
			if err != nil {
				return known, err
			}
			if reply.GetPages() != mangoprofile.PageCount {
				return known, &Error{Op: "FetchBook", Kind: KindInvalid, Err: errors.Errorf("the peer's book has another number of pages: %d", reply.GetPages())}
			}
			pages[i], revisions[i] = reply.GetEntries(), reply.GetRevision()
			newest = max(newest, reply.GetRevision())
		}
		if newest <= known.Revision() {
			return known, nil
		}
		if allAtRevision(revisions, newest) {
			return bookFromPages(known, newest, pages)
		}
	}
	return known, &Error{Op: "FetchBook", Kind: KindGap, Err: errors.New("the peer's book changed during every pass over its pages")}
}

func allAtRevision(revisions map[int]uint64, want uint64) bool {
	for _, r := range revisions {
		if r != want {
			return false
		}
	}
	return true
}

func bookFromPages(known *mangoprofile.Book, revision uint64, pages map[int][]*mangomessage.Entry) (*mangoprofile.Book, error) {
	next, err := mangoprofile.New().WithPages(revision, pages)
	if err != nil {
		return known, &Error{Op: "FetchBook", Kind: KindInvalid, Err: err}
	}
	if id, ok := next.ChangeIDAt(known.Revision()); ok && id != known.LastChangeID() {
		return known, &Error{Op: "FetchBook", Kind: KindFork, Err: errors.Errorf("revision %d is change %q in the known book and %q at the peer",
			known.Revision(), known.LastChangeID(), id)}
	}
	return next, nil
}
