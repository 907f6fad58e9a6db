package mangopeer

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxDeltaBytes keeps an exchange short; a receiver that is further behind gets the rest with the next one.
const maxDeltaBytes = 256 << 10

// fetchRounds bounds the passes over pages of a peer whose book changes meanwhile.
const fetchRounds = 5

// Delta returns the first entries of the book after a revision. It reports false when the book no longer keeps them,
// in which case the receiver has to fetch pages.
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

// Apply returns the book with a peer's changes after revision from. Entries that the book has are skipped. Errors are
// KindGap and KindFork, and the book stands.
func Apply(book *mangoprofile.Book, from uint64, changes []*mangomessage.Entry) (*mangoprofile.Book, error) {
	if len(changes) == 0 {
		return book, nil
	}
	if from > book.Revision() {
		return book, &Error{Op: "Apply", Kind: KindGap, Err: errors.Errorf("changes follow %d, book is at %d", from, book.Revision())}
	}
	for len(changes) > 0 && changes[0].GetRevision() <= book.Revision() {
		if id, ok := book.ChangeIDAt(changes[0].GetRevision()); ok && id != changes[0].GetChangeId() {
			return book, &Error{Op: "Apply", Kind: KindFork, Err: errors.Errorf(
				"revision %d is change %q and %q at the peer", changes[0].GetRevision(), id, changes[0].GetChangeId())}
		}
		changes = changes[1:]
	}
	next, err := book.With(changes...)
	if err != nil {
		return book, &Error{Op: "Apply", Kind: KindGap, Err: err}
	}
	return next, nil
}

// PageFetcher reads a page of a peer's book.
type PageFetcher func(ctx context.Context, request *mangomessage.FetchRequest) (*mangomessage.FetchReply, error)

// FetchBook reads the pages of a peer's book until all are of one revision. It returns known when that is newer.
func FetchBook(ctx context.Context, known *mangoprofile.Book, fetch PageFetcher) (*mangoprofile.Book, error) {
	revisions := map[int]uint64{}
	pages := map[int][]*mangomessage.Entry{}
	var newest uint64
	for range fetchRounds {
		for i := range mangoprofile.PageCount {
			if revision, ok := revisions[i]; ok && revision == newest {
				continue
			}
			reply, err := fetch(ctx, &mangomessage.FetchRequest{Page: uint32(i)})
			if err != nil {
				return known, err
			}
			if reply.GetPages() != mangoprofile.PageCount {
				return known, &Error{Op: "FetchBook", Kind: KindInvalid, Err: errors.Errorf("peer has %d pages", reply.GetPages())}
			}
			pages[i], revisions[i] = reply.GetEntries(), reply.GetRevision()
			newest = max(newest, reply.GetRevision())
		}
		if newest <= known.Revision() {
			return known, nil
		}
		if uniform(revisions, newest) {
			return assemble(known, newest, pages)
		}
	}
	return known, &Error{Op: "FetchBook", Kind: KindGap, Err: errors.New("peer's book changed in every round")}
}

func uniform(revisions map[int]uint64, want uint64) bool {
	for _, r := range revisions {
		if r != want {
			return false
		}
	}
	return true
}

func assemble(known *mangoprofile.Book, revision uint64, pages map[int][]*mangomessage.Entry) (*mangoprofile.Book, error) {
	next, err := mangoprofile.New().WithPages(revision, pages)
	if err != nil {
		return known, &Error{Op: "FetchBook", Kind: KindInvalid, Err: err}
	}
	if id, ok := next.ChangeIDAt(known.Revision()); ok && id != known.LastChangeID() {
		return known, &Error{Op: "FetchBook", Kind: KindFork, Err: errors.Errorf("revision %d is change %q here and %q at the peer",
			known.Revision(), known.LastChangeID(), id)}
	}
	return next, nil
}
