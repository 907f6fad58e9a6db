package mangochange_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangochange"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostorefake"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against any difference from a plain list, with competing writers, lost writes, compaction and restores.
func TestLogAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{store: mangostorefake.New(), books: make([]*mangoprofile.Book, 3)}
		for i := range m.books {
			m.logs = append(m.logs, mangochange.New(m.store, mangochange.WithTailLimit(3, 1<<20),
				mangochange.WithBackoff(100*time.Microsecond, time.Millisecond)))
			m.books[i] = mangoprofile.New()
		}
		m.saved = m.store.Snapshot()
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose,
			"poll":    func(t *rapid.T) { m.poll(t, rapid.IntRange(0, 2).Draw(t, "daemon")) },
			"save":    func(*rapid.T) { m.saved = m.store.Snapshot() },
			"restore": m.restore,
		})
		for i := range m.books {
			m.poll(t, i)
		}
	})
}

type model struct {
	store *mangostorefake.Store
	saved mangostorefake.Snapshot
	logs  []*mangochange.Log
	books []*mangoprofile.Book
	list  []*mangomessage.Entry
	next  int

	conflicts []*mangomessage.Change
}

func (m *model) expected(name string) uint64 {
	for i, e := range slices.Backward(m.list) {
		if e.GetCustomer().GetName() == name {
			return uint64(i + 1)
		}
	}
	return 0
}

func (m *model) change(t *rapid.T) *mangomessage.Change {
	m.next++
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	expected := m.expected(name)
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		expected += 1000 // a revision that no run reaches
	}
	return customer(expected, name, fmt.Sprint("id", m.next))
}

func (m *model) propose(t *rapid.T) {
	change, rival := m.change(t), m.change(t)
	daemon, moment := rapid.IntRange(0, 2).Draw(t, "daemon"), rapid.IntRange(0, 4).Draw(t, "moment")
	m.store.LoseReplies(rapid.IntRange(0, 2).Draw(t, "lost replies"))
	m.store.LoseRequests(rapid.IntRange(0, 1).Draw(t, "lost requests"))
	m.store.Before(func(string, string) {
		if moment--; moment == 0 {
			m.submit(t, (daemon+1)%3, rival)
		}
	})
	m.submit(t, daemon, change)
	for _, c := range m.conflicts {
		if m.expected(c.GetEntry().GetCustomer().GetName()) == c.GetExpectedRevision() {
			t.Fatalf("%v was refused without a conflict", c)
		}
	}
	m.conflicts = nil
	m.store.Before(nil)
	m.store.LoseReplies(0)
	m.store.LoseRequests(0)
}

// submit proposes and records an accepted change at its revision. A conflict is compared with the list once the change
// around it is recorded, since that one may have taken effect already.
func (m *model) submit(t *rapid.T, daemon int, change *mangomessage.Change) {
	revision, err := m.logs[daemon].Propose(context.Background(), change)
	if kindOf(err) == mangochange.KindConflict {
		m.conflicts = append(m.conflicts, change)
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for uint64(len(m.list)) < revision {
		m.list = append(m.list, nil)
	}
	if m.list[revision-1] != nil {
		t.Fatalf("revision %d has two changes", revision)
	}
	m.list[revision-1] = change.GetEntry()
}

func (m *model) poll(t *rapid.T, daemon int) {
	for range 9 {
		book, err := m.logs[daemon].Poll(context.Background(), m.books[daemon])
		if err != nil || book.Revision() < m.books[daemon].Revision() {
			t.Fatalf("book went from %d to %d: %v", m.books[daemon].Revision(), book.Revision(), err)
		}
		m.books[daemon] = book
	}
	book := m.books[daemon]
	if book.Revision() != uint64(len(m.list)) {
		t.Fatalf("book is at %d, list at %d", book.Revision(), len(m.list))
	}
	for _, e := range m.list {
		name := e.GetCustomer().GetName()
		got := book.Entry(mangoprofile.EntryCustomer, name)
		want := m.expected(name)
		if got.GetRevision() != want || got.GetChangeId() != m.list[want-1].GetChangeId() {
			t.Fatalf("customer %q is %v, list has revision %d", name, got, want)
		}
	}
}

// restore goes back to the saved state; the daemon with the newest book repairs, as one that finds KindBehind does.
func (m *model) restore(t *rapid.T) {
	newest := mangoprofile.New()
	for i := range m.books {
		m.poll(t, i)
		newest = m.books[i]
	}
	m.store.Restore(m.saved)
	if err := m.logs[rapid.IntRange(0, 2).Draw(t, "repairer")].Repair(context.Background(), newest); err != nil {
		t.Fatal(err)
	}
}
