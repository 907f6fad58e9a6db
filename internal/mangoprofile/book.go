package mangoprofile

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Pages is the number of pages of a book. A change at 17,000 customers copies about 270 references.
const PageCount = 64

// RecentEntries is the number of latest entries that a book keeps for peers that are a little behind.
const MaxRecentEntries = 1024

// Book is the configuration at a revision. It is immutable and safe for concurrent use.
type Book struct {
	revision uint64
	lastID   string
	pages    [PageCount]page
	digests  [PageCount]digestPage
	// recent has consecutive entries that end at revision.
	recent []*mangomessage.Entry
}

// New returns the empty book at revision 0.
func New() *Book { return &Book{} }

// Revision returns the number of changes that led to the book.
func (b *Book) Revision() uint64 { return b.revision }

// LastChangeID returns the id of the change at the revision of the book, empty at revision 0.
func (b *Book) LastChangeID() string { return b.lastID }

// Resolve returns the profile of a name, directly or through one alias. Errors are KindUnknownName and KindDangling.
func (b *Book) Resolve(name string) (*mangomessage.Profile, error) {
	if p := b.Profile(name); p != nil {
		return p, nil
	}
	a := b.Alias(name)
	if a == nil {
		return nil, &Error{Op: "Resolve", Kind: KindUnknownName, Err: fmt.Errorf("no profile or alias %q", name)}
	}
	if p := b.Profile(a.GetTarget()); p != nil {
		return p, nil
	}
	return nil, &Error{
		Op: "Resolve", Kind: KindDangling,
		Err: fmt.Errorf("alias %q points to %q, which is not a profile", name, a.GetTarget()),
	}
}

// Profile returns the profile of a name, nil when there is none.
func (b *Book) Profile(name string) *mangomessage.Profile {
	return b.live(EntryProfile, name).GetProfile()
}

// Alias returns the alias of a name, nil when there is none.
func (b *Book) Alias(name string) *mangomessage.Alias {
	return b.live(EntryAlias, name).GetAlias()
}

// Customer returns the customer of a name, nil when there is none.
func (b *Book) Customer(name string) *mangomessage.Customer {
	return b.live(EntryCustomer, name).GetCustomer()
}

// CustomerByDigest returns the customer that has the SHA-256 digest of a key, in lower-case hexadecimal, or nil.
// When several have it the one whose name sorts first is returned, so that all daemons agree.
func (b *Book) CustomerByDigest(digest string) *mangomessage.Customer {
	name, ok := b.digests[partition(digest)].find(digest)
	if !ok {
		return nil
	}
	return b.Customer(name)
}

// Draining reports whether operators marked a host to be drained.
func (b *Book) Draining(host string) bool {
	return b.live(EntryHostMark, host).GetHostMark().GetDrain()
}

// Entry returns the entry of a kind and name, nil when there never was one. A removed entry is returned with Removed
// set, since a change that creates it again must name its revision.
func (b *Book) Entry(kind, name string) *mangomessage.Entry {
	key := entryKey(kind, name)
	return b.pages[partition(key)].find(key)
}

// Entries returns the entries of a kind that are not removed, ordered by name.
func (b *Book) Entries(kind string) []*mangomessage.Entry {
	var found []item
	for i := range b.pages {
		for _, it := range b.pages[i] {
			if !it.entry.GetRemoved() && EntryKind(it.entry) == kind {
				found = append(found, it)
			}
		}
	}
	return sortedEntries(found)
}

// Page returns the entries of page i, removed ones included, ordered by kind and name.
func (b *Book) Page(i int) []*mangomessage.Entry {
	entries := make([]*mangomessage.Entry, len(b.pages[i]))
	for j, it := range b.pages[i] {
		entries[j] = it.entry
	}
	return entries
}

// PageRevision returns the highest revision of an entry of page i, 0 for an empty page.
func (b *Book) PageRevision(i int) uint64 {
	var highest uint64
	for _, it := range b.pages[i] {
		highest = max(highest, it.entry.GetRevision())
	}
	return highest
}

// Since returns the entries after a revision in order. It reports false when the book no longer keeps all of them.
func (b *Book) Since(revision uint64) ([]*mangomessage.Entry, bool) {
	if revision >= b.revision {
		return nil, true
	}
	n := b.revision - revision
	if n > uint64(len(b.recent)) {
		return nil, false
	}
	return slices.Clip(b.recent[uint64(len(b.recent))-n:]), true
}

// Recent returns the latest entries in order, at most n and fewer when the book does not keep them.
func (b *Book) Recent(n int) []*mangomessage.Entry {
	return slices.Clip(b.recent[max(0, len(b.recent)-n):])
}

// ChangeIDAt returns the id of the change at a revision, false when the book no longer knows it.
func (b *Book) ChangeIDAt(revision uint64) (string, bool) {
	switch {
	case revision == b.revision:
		return b.lastID, true
	case revision == 0:
		return "", true
	case revision > b.revision:
		return "", false
	}
	if entries, ok := b.Since(revision - 1); ok {
		return entries[0].GetChangeId(), true
	}
	return b.idOnPages(revision)
}

// With returns a copy with entries applied in order. Their revisions must follow that of the book without a gap;
// otherwise the error is KindOrder and the book stands.
func (b *Book) With(entries ...*mangomessage.Entry) (*Book, error) {
	if len(entries) == 0 {
		return b, nil
	}
	next := *b
	for _, e := range entries {
		if e.GetRevision() != next.revision+1 {
			return nil, orderError("With", errors.Errorf("entry at revision %d cannot follow %d", e.GetRevision(), next.revision))
		}
		if EntryKind(e) == "" || EntryName(e) == "" {
			return nil, orderError("With", errors.Errorf("entry at revision %d has no content or name", e.GetRevision()))
		}
		next.put(e)
	}
	next.recent = appendRecent(b.recent, entries)
	return &next, nil
}

// WithPages returns a copy at revision with some pages replaced. The revision must not be below that of the book, each
// entry must belong to its page, and the entry that was written at the revision must be present; otherwise the error
// is KindOrder. The copy keeps no recent entries unless the revision is unchanged.
func (b *Book) WithPages(revision uint64, pages map[int][]*mangomessage.Entry) (*Book, error) {
	if revision < b.revision {
		return nil, orderError("WithPages", errors.Errorf("revision %d is below %d", revision, b.revision))
	}
	next := *b
	next.revision = revision
	for i, entries := range pages {
		if i < 0 || i >= PageCount {
			return nil, orderError("WithPages", errors.Errorf("page %d is not within 0 to %d", i, PageCount-1))
		}
		if err := next.replace(i, entries); err != nil {
			return nil, err
		}
	}
	if revision == b.revision {
		return &next, nil
	}
	next.recent = nil
	next.lastID = ""
	id, ok := next.idOnPages(revision)
	if !ok {
		return nil, orderError("WithPages", errors.Errorf("no page has the entry of revision %d", revision))
	}
	next.lastID = id
	return &next, nil
}

func (b *Book) idOnPages(revision uint64) (string, bool) {
	for i := range b.pages {
		for _, it := range b.pages[i] {
			if it.entry.GetRevision() == revision {
				return it.entry.GetChangeId(), true
			}
		}
	}
	return "", false
}

func (b *Book) live(kind, name string) *mangomessage.Entry {
	if e := b.Entry(kind, name); e != nil && !e.GetRemoved() {
		return e
	}
	return nil
}

// put applies an entry to a book that is not yet shared.
func (b *Book) put(e *mangomessage.Entry) {
	key := entryKey(EntryKind(e), EntryName(e))
	i := partition(key)
	b.unindex(b.pages[i].find(key))
	b.pages[i] = b.pages[i].with(item{key: key, entry: e})
	b.index(e)
	b.revision, b.lastID = e.GetRevision(), e.GetChangeId()
}

// replace sets page i of a book that is not yet shared.
func (b *Book) replace(i int, entries []*mangomessage.Entry) error {
	next := make(page, 0, len(entries))
	for _, e := range entries {
		key := entryKey(EntryKind(e), EntryName(e))
		if partition(key) != i || e.GetRevision() > b.revision || EntryKind(e) == "" {
			return orderError("WithPages", errors.Errorf("entry %q at revision %d is not one of page %d at %d",
				key, e.GetRevision(), i, b.revision))
		}
		next = append(next, item{key: key, entry: e})
	}
	for _, it := range b.pages[i] {
		b.unindex(it.entry)
	}
	b.pages[i] = next.sorted()
	for _, it := range b.pages[i] {
		b.index(it.entry)
	}
	return nil
}

func (b *Book) index(e *mangomessage.Entry) {
	if e.GetRemoved() {
		return
	}
	for _, d := range e.GetCustomer().GetKeyDigests() {
		i := partition(d)
		b.digests[i] = b.digests[i].with(digestItem{digest: d, name: e.GetCustomer().GetName()})
	}
}

func (b *Book) unindex(e *mangomessage.Entry) {
	if e.GetRemoved() {
		return
	}
	for _, d := range e.GetCustomer().GetKeyDigests() {
		i := partition(d)
		b.digests[i] = b.digests[i].without(digestItem{digest: d, name: e.GetCustomer().GetName()})
	}
}

func appendRecent(recent, entries []*mangomessage.Entry) []*mangomessage.Entry {
	drop := max(0, len(recent)+len(entries)-MaxRecentEntries)
	if drop >= len(recent) {
		return append([]*mangomessage.Entry(nil), entries[drop-len(recent):]...)
	}
	next := make([]*mangomessage.Entry, 0, len(recent)-drop+len(entries))
	return append(append(next, recent[drop:]...), entries...)
}

func orderError(op string, err error) error {
	return &Error{Op: op, Kind: KindOrder, Err: err}
}
