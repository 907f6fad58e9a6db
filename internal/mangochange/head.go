package mangochange

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// HeadKey is the key under which the store keeps the head.
const HeadKey = "Mangopath/Head"

// maxRecentIDs is the number of change ids that the head keeps, by which a writer finds out after a lost reply whether its
// change was accepted.
const maxRecentIDs = 256

// pageKey returns the key under which the store keeps a page.
func pageKey(ref *mangomessage.PageRef) string {
	return fmt.Sprintf("Mangopath/Page/%02d/%d-%s", ref.GetIndex(), ref.GetRevision(), ref.GetId())
}

// decodeHead decodes a head; an item without a value gives an empty head at revision 0.
func decodeHead(item mangostore.Item) (*mangomessage.Head, error) {
	head := &mangomessage.Head{}
	if err := proto.Unmarshal(item.Value, head); err != nil {
		return nil, &Error{Op: "Head", Kind: KindCorrupt, Err: errors.WithStack(err)}
	}
	if head.GetBaseRevision()+uint64(len(head.GetTail())) != head.GetRevision() {
		return nil, &Error{Op: "Head", Kind: KindCorrupt, Err: errors.Errorf(
			"head revision %d is not base revision %d plus %d changes in the tail",
			head.GetRevision(), head.GetBaseRevision(), len(head.GetTail()))}
	}
	return head, nil
}

// changeIDAt returns the id of the change at a revision, empty at revision 0. It returns false when the head does not have
// that id, or not any more.
func changeIDAt(head *mangomessage.Head, revision uint64) (string, bool) {
	if revision == 0 {
		return "", true
	}
	if revision > head.GetRevision() {
		return "", false
	}
	if base := head.GetBaseRevision(); revision > base {
		return head.GetTail()[revision-base-1].GetChangeId(), true
	}
	ids := head.GetRecentIds()
	if age := head.GetRevision() - revision; age < uint64(len(ids)) {
		return ids[uint64(len(ids))-1-age], true
	}
	return "", false
}

// acceptedRevision returns the revision at which the change with the id of an entry was accepted, false when neither the
// head nor the book has that id.
func acceptedRevision(head *mangomessage.Head, book *mangoprofile.Book, entry *mangomessage.Entry) (uint64, bool) {
	if i := slices.Index(head.GetRecentIds(), entry.GetChangeId()); i >= 0 {
		return head.GetRevision() - uint64(len(head.GetRecentIds())-1-i), true
	}
	for _, e := range head.GetTail() {
		if e.GetChangeId() == entry.GetChangeId() {
			return e.GetRevision(), true
		}
	}
	present := book.Entry(mangoprofile.EntryKind(entry), mangoprofile.EntryName(entry))
	if present.GetChangeId() == entry.GetChangeId() {
		return present.GetRevision(), true
	}
	return 0, false
}

// hasIDsSince reports whether the head has the ids of all changes after a revision.
func hasIDsSince(head *mangomessage.Head, revision uint64) bool {
	return head.GetRevision()-revision <= uint64(max(len(head.GetRecentIds()), len(head.GetTail())))
}

// appendEntry returns a copy of the head with an entry added to the tail. The entry must be at the next revision.
func appendEntry(head *mangomessage.Head, entry *mangomessage.Entry) *mangomessage.Head {
	return &mangomessage.Head{
		Revision:     entry.GetRevision(),
		BaseRevision: head.GetBaseRevision(),
		Pages:        head.GetPages(),
		Tail:         append(slices.Clip(head.GetTail()), entry),
		RecentIds:    trimRecentIDs(append(slices.Clip(head.GetRecentIds()), entry.GetChangeId())),
		Retired:      head.GetRetired(),
	}
}

// trimRecentIDs returns the last maxRecentIDs ids.
func trimRecentIDs(ids []string) []string { return ids[max(0, len(ids)-maxRecentIDs):] }

// tailSize returns the encoded size of the tail in bytes.
func tailSize(head *mangomessage.Head) int {
	return proto.Size(&mangomessage.Head{Tail: head.GetTail()})
}

// checkCommonHistory returns a KindFork error when the histories of the head and the book differ, as far as both are known:
// at the lower of their revisions, or in an entry of the tail up to it.
func checkCommonHistory(op string, head *mangomessage.Head, book *mangoprofile.Book) error {
	revision := min(head.GetRevision(), book.Revision())
	storeID, inHead := changeIDAt(head, revision)
	bookID, inBook := book.ChangeIDAt(revision)
	if inHead && inBook && storeID != bookID {
		return forkError(op, revision, storeID, bookID)
	}
	for _, e := range head.GetTail() {
		if e.GetRevision() > revision {
			break
		}
		present := book.Entry(mangoprofile.EntryKind(e), mangoprofile.EntryName(e))
		if present.GetRevision() < e.GetRevision() ||
			present.GetRevision() == e.GetRevision() && present.GetChangeId() != e.GetChangeId() {
			return forkError(op, e.GetRevision(), e.GetChangeId(), present.GetChangeId())
		}
	}
	return nil
}

func forkError(op string, revision uint64, storeID, bookID string) error {
	return &Error{Op: op, Kind: KindFork, Err: errors.Errorf(
		"revision %d is change %q in the store and %q in the known book", revision, storeID, bookID)}
}
