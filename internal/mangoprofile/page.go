package mangoprofile

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Kinds of entries, as operators name them.
const (
	EntryProfile  = "Profile"
	EntryAlias    = "Alias"
	EntryCustomer = "Customer"
	EntryHostMark = "HostMark"
)

// EntryKind returns the kind of an entry, empty when it has no content.
func EntryKind(e *mangomessage.Entry) string {
	switch e.GetContent().(type) {
	case *mangomessage.Entry_Profile:
		return EntryProfile
	case *mangomessage.Entry_Alias:
		return EntryAlias
	case *mangomessage.Entry_Customer:
		return EntryCustomer
	case *mangomessage.Entry_HostMark:
		return EntryHostMark
	default:
		return ""
	}
}

// EntryName returns the name of an entry within its kind.
func EntryName(e *mangomessage.Entry) string {
	switch c := e.GetContent().(type) {
	case *mangomessage.Entry_Profile:
		return c.Profile.GetName()
	case *mangomessage.Entry_Alias:
		return c.Alias.GetName()
	case *mangomessage.Entry_Customer:
		return c.Customer.GetName()
	case *mangomessage.Entry_HostMark:
		return c.HostMark.GetHost()
	default:
		return ""
	}
}

// PageOf returns the index of the page that holds the entry of a kind and name.
func PageOf(kind, name string) int { return partition(entryKey(kind, name)) }

func entryKey(kind, name string) string { return kind + "/" + name }

func partition(key string) int { return int(xxhash.Sum64String(key) % PageCount) }

type item struct {
	key   string
	entry *mangomessage.Entry
}

// page is sorted by key and never changed in place.
type page []item

func (p page) search(key string) (int, bool) {
	return slices.BinarySearchFunc(p, key, func(it item, key string) int { return cmp.Compare(it.key, key) })
}

func (p page) find(key string) *mangomessage.Entry {
	i, ok := p.search(key)
	if !ok {
		return nil
	}
	return p[i].entry
}

func (p page) with(it item) page {
	i, ok := p.search(it.key)
	if ok {
		next := slices.Clone(p)
		next[i] = it
		return next
	}
	next := make(page, 0, len(p)+1)
	return append(append(append(next, p[:i]...), it), p[i:]...)
}

func (p page) sorted() page {
	slices.SortFunc(p, func(a, b item) int { return cmp.Compare(a.key, b.key) })
	return p
}

func sortedEntries(items page) []*mangomessage.Entry {
	entries := make([]*mangomessage.Entry, 0, len(items))
	for _, it := range items.sorted() {
		entries = append(entries, it.entry)
	}
	return entries
}

type digestItem struct {
	digest string
	name   string
}

func (d digestItem) compare(other digestItem) int {
	return cmp.Or(cmp.Compare(d.digest, other.digest), cmp.Compare(d.name, other.name))
}

// digestPage is sorted by digest and name and never changed in place.
type digestPage []digestItem

func (p digestPage) find(digest string) (string, bool) {
	i, _ := slices.BinarySearchFunc(p, digestItem{digest: digest}, digestItem.compare)
	if i == len(p) || p[i].digest != digest {
		return "", false
	}
	return p[i].name, true
}

func (p digestPage) with(it digestItem) digestPage {
	i, ok := slices.BinarySearchFunc(p, it, digestItem.compare)
	if ok {
		return p
	}
	next := make(digestPage, 0, len(p)+1)
	return append(append(append(next, p[:i]...), it), p[i:]...)
}

func (p digestPage) without(it digestItem) digestPage {
	i, ok := slices.BinarySearchFunc(p, it, digestItem.compare)
	if !ok {
		return p
	}
	next := make(digestPage, 0, len(p)-1)
	return append(append(next, p[:i]...), p[i+1:]...)
}
