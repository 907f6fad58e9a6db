package mangoprofile_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func profileEntry(revision uint64, name string) *mangomessage.Entry {
	return &mangomessage.Entry{
		ChangeId: fmt.Sprint("c", revision), Revision: revision,
		Content: &mangomessage.Entry_Profile{Profile: &mangomessage.Profile{
			Name: name, Kind: "completion", Model: "m", Version: "1", Layers: 8,
			Places: []*mangomessage.Place{{DataCentre: "zeist", Hosts: []string{"h1"}}},
		}},
	}
}

func aliasEntry(revision uint64, name, target string) *mangomessage.Entry {
	return &mangomessage.Entry{
		ChangeId: fmt.Sprint("c", revision), Revision: revision,
		Content: &mangomessage.Entry_Alias{Alias: &mangomessage.Alias{Name: name, Target: target}},
	}
}

func customerEntry(revision uint64, name string, digests ...string) *mangomessage.Entry {
	return &mangomessage.Entry{
		ChangeId: fmt.Sprint("c", revision), Revision: revision,
		Content: &mangomessage.Entry_Customer{Customer: &mangomessage.Customer{Name: name, KeyDigests: digests}},
	}
}

// Guards against aliases that are followed more than one level, in circles or to removed profiles.
func TestResolve(t *testing.T) {
	removed := profileEntry(5, "old")
	removed.Removed = true
	book, err := mangoprofile.New().With(profileEntry(1, "cat"), aliasEntry(2, "pet", "cat"), aliasEntry(3, "loop", "loop"),
		aliasEntry(4, "chain", "pet"), removed, aliasEntry(6, "stale", "old"))
	is.New(t).NoErr(err)
	tests := []struct {
		name, want string
		kind       mangoprofile.Kind
	}{
		{name: "cat", want: "cat"},
		{name: "pet", want: "cat"},
		{name: "loop", kind: mangoprofile.KindDangling},
		{name: "chain", kind: mangoprofile.KindDangling},
		{name: "stale", kind: mangoprofile.KindDangling},
		{name: "old", kind: mangoprofile.KindUnknownName},
		{name: "dog", kind: mangoprofile.KindUnknownName},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, err := book.Resolve(tt.name)
			is.Equal(p.GetName(), tt.want)
			var e *mangoprofile.Error
			is.Equal(errors.As(err, &e), tt.kind != 0)
			if e != nil {
				is.Equal(e.Kind, tt.kind)
			}
		})
	}
}

// Guards against a book that skips or repeats a change.
func TestWithRefusesGaps(t *testing.T) {
	book, err := mangoprofile.New().With(profileEntry(1, "cat"))
	is.New(t).NoErr(err)
	for _, revision := range []uint64{0, 1, 3} {
		t.Run(fmt.Sprint(revision), func(t *testing.T) {
			is := is.New(t)
			_, err := book.With(profileEntry(revision, "dog"))
			var e *mangoprofile.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, mangoprofile.KindOrder)
			is.Equal(book.Revision(), uint64(1))
		})
	}
}

// Guards against faults that are reported one at a time, and against entries that break references of others.
func TestCheck(t *testing.T) {
	digest := strings.Repeat("ab", 32)
	book, err := mangoprofile.New().With(profileEntry(1, "cat"), aliasEntry(2, "pet", "cat"), customerEntry(3, "ann", digest))
	is.New(t).NoErr(err)
	bad := profileEntry(4, "x y")
	bad.GetProfile().Layers, bad.GetProfile().Kind, bad.GetProfile().Places = 0, "odd", nil
	steps := profileEntry(4, "steps")
	steps.GetProfile().Stages = []uint32{0, 4, 4, 8}
	removal := profileEntry(4, "cat")
	removal.Removed = true
	large := profileEntry(4, "large")
	large.GetProfile().Adapters = slices.Repeat([]string{strings.Repeat("a", 128)}, 600)
	tests := []struct {
		name  string
		entry *mangomessage.Entry
		want  []string
	}{
		{"several faults", bad, []string{`Profile.Name = "x y"`, `Profile.Kind = "odd"`, "Profile.Places"}},
		{"stages", steps, []string{"Profile.Stages"}},
		{"too large", large, []string{"at most 65536 bytes"}},
		{"removal of an alias target", removal, []string{`alias "pet"`}},
		{"alias of nothing", aliasEntry(4, "a", "none"), []string{"Alias.Target"}},
		{"alias named as a profile", aliasEntry(4, "cat", "cat"), []string{"Alias.Name"}},
		{"profile named as an alias", profileEntry(4, "pet"), []string{"Profile.Name"}},
		{"digest of another", customerEntry(4, "bob", digest), []string{`customer "ann"`}},
		{"bad digest", customerEntry(4, "bob", "AB"), []string{"64 lower-case hexadecimal"}},
		{"no content", &mangomessage.Entry{}, []string{"Entry.Content"}},
		{"good", customerEntry(4, "ann", digest), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := book.Check(tt.entry)
			is.Equal(err != nil, len(tt.want) > 0)
			for _, w := range tt.want {
				is.True(strings.Contains(err.Error(), w)) // the fault is named
			}
		})
	}
}

// Guards against index or page faults: a book must agree with a plain map, also after it went through pages, and
// earlier books must not change.
func TestBookAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := map[string]*mangomessage.Entry{}
		first := mangoprofile.New()
		book := first
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			e := drawEntry(t, book.Revision()+1)
			next, err := book.With(e)
			if err != nil {
				t.Fatal(err)
			}
			book = next
			want[mangoprofile.EntryKind(e)+mangoprofile.EntryName(e)] = e
		}
		compareBook(t, book, want)
		pages := map[int][]*mangomessage.Entry{}
		for i := range mangoprofile.PageCount {
			pages[i] = book.Page(i)
		}
		copied, err := first.WithPages(book.Revision(), pages)
		if err != nil {
			t.Fatal(err)
		}
		compareBook(t, copied, want)
		if copied.LastChangeID() != book.LastChangeID() || first.Revision() != 0 || len(first.Entries(mangoprofile.EntryCustomer)) != 0 {
			t.Fatal("pages lost the last id or changed the first book")
		}
	})
}

func drawEntry(t *rapid.T, revision uint64) *mangomessage.Entry {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
	var e *mangomessage.Entry
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		e = profileEntry(revision, name)
	case 1:
		e = aliasEntry(revision, name, "a")
	default:
		e = customerEntry(revision, name, rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y", "z"}), 0, 3).Draw(t, "digests")...)
	}
	e.Removed = rapid.IntRange(0, 3).Draw(t, "removed") == 0
	return e
}

func compareBook(t *rapid.T, book *mangoprofile.Book, want map[string]*mangomessage.Entry) {
	owner := map[string]string{}
	live := 0
	for _, e := range want {
		if !proto.Equal(book.Entry(mangoprofile.EntryKind(e), mangoprofile.EntryName(e)), e) {
			t.Fatalf("entry %v differs", e)
		}
		if e.GetRemoved() {
			continue
		}
		live++
		for _, d := range e.GetCustomer().GetKeyDigests() {
			if o, ok := owner[d]; !ok || e.GetCustomer().GetName() < o {
				owner[d] = e.GetCustomer().GetName()
			}
		}
	}
	for _, d := range []string{"x", "y", "z"} {
		if got := book.CustomerByDigest(d).GetName(); got != owner[d] {
			t.Fatalf("digest %s belongs to %q, not %q", d, owner[d], got)
		}
	}
	for _, k := range []string{mangoprofile.EntryProfile, mangoprofile.EntryAlias, mangoprofile.EntryCustomer} {
		live -= len(book.Entries(k))
	}
	if live != 0 {
		t.Fatalf("%d live entries are missing", live)
	}
}

// Guards against a delta with a gap when the book no longer keeps all entries after a revision.
func TestSince(t *testing.T) {
	is := is.New(t)
	book := mangoprofile.New()
	for i := range uint64(mangoprofile.MaxRecentEntries + 10) {
		next, err := book.With(customerEntry(i+1, fmt.Sprint("n", i%7)))
		is.NoErr(err)
		book = next
	}
	_, ok := book.Since(9)
	is.True(!ok)
	entries, ok := book.Since(10)
	is.True(ok)
	is.Equal(len(entries), mangoprofile.MaxRecentEntries)
	is.Equal(entries[0].GetRevision(), uint64(11))
	id, ok := book.ChangeIDAt(20)
	is.True(ok)
	is.Equal(id, "c20")
	_, ok = book.ChangeIDAt(3)
	is.True(!ok)
}
