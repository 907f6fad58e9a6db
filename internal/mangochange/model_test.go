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

// Guards against any difference between the log and a plain list of the accepted changes, with competing writers, lost
// writes, compactions and restores.
func TestLogAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &listModel{store: mangostorefake.New(), books: make([]*mangoprofile.Book, 3)}
		for i := range m.books {
			m.logs = append(m.logs, mangochange.New(m.store, mangochange.WithTailLimit(3, 1<<20),
				mangochange.WithBackoff(100*time.Microsecond, time.Millisecond)))
			m.books[i] = mangoprofile.New()
		}
		m.backup = m.store.Snapshot()
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose,
			"poll":    func(t *rapid.T) { m.poll(t, rapid.IntRange(0, 2).Draw(t, "daemon")) },
			"save":    func(*rapid.T) { m.backup = m.store.Snapshot() },
			"restore": m.restore,
		})
		for i := range m.books {
			m.poll(t, i)
		}
	})
}

// listModel runs random operations of three daemons on one store and checks the results against a list.
type listModel struct {
	store  *mangostorefake.Store
	backup mangostorefake.Snapshot
	// logs and books are those of the daemons.
	logs  []*mangochange.Log
	books []*mangoprofile.Book
	// accepted has the accepted entries; the entry at index i has revision i+1.
	accepted []*mangomessage.Entry
	// lastID is the number in the id of the latest change.
	lastID int

	// conflicts are the changes of the present step that were refused with KindConflict.
	conflicts []*mangomessage.Change
}

// currentRevision returns the revision of the latest accepted entry of a customer, 0 when there is none.
func (m *listModel) currentRevision(name string) uint64 {
	for i, e := range slices.Backward(m.accepted) {
		if e.GetCustomer().GetName() == name {
			return uint64(i + 1)
		}
	}
	return 0
}

// change returns a random change; one in five expects a revision that is not the present one.
func (m *listModel) change(t *rapid.T) *mangomessage.Change {
	m.lastID++
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	expected := m.currentRevision(name)
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		expected += 1000 // no run reaches such a revision
	}
	return customer(expected, name, fmt.Sprint("id", m.lastID))
}

// propose submits a change, and another daemon's competing change just before a random store call of the first.
func (m *listModel) propose(t *rapid.T) {
	change, competing := m.change(t), m.change(t)
	daemon, callsLeft := rapid.IntRange(0, 2).Draw(t, "daemon"), rapid.IntRange(0, 4).Draw(t, "moment")
	m.store.LoseReplies(rapid.IntRange(0, 2).Draw(t, "lost replies"))
	m.store.LoseRequests(rapid.IntRange(0, 1).Draw(t, "lost requests"))
	m.store.SetBeforeCall(func(string, string) {
		if callsLeft--; callsLeft == 0 {
			m.submit(t, (daemon+1)%3, competing)
		}
	})
	m.submit(t, daemon, change)
	for _, c := range m.conflicts {
		if m.currentRevision(c.GetEntry().GetCustomer().GetName()) == c.GetExpectedRevision() {
			t.Fatalf("change %v was refused with a conflict, but its expected revision is the present one", c)
		}
	}
	m.conflicts = nil
	m.store.SetBeforeCall(nil)
	m.store.LoseReplies(0)
	m.store.LoseRequests(0)
}

// submit proposes a change and records it at its revision when it is accepted. A conflict is only noted: propose compares it
// with the list after the other change is recorded too, since that one may already have taken effect.
func (m *listModel) submit(t *rapid.T, daemon int, change *mangomessage.Change) {
	revision, err := m.logs[daemon].Propose(context.Background(), change)
	if kindOf(err) == mangochange.KindConflict {
		m.conflicts = append(m.conflicts, change)
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for uint64(len(m.accepted)) < revision {
		m.accepted = append(m.accepted, nil)
	}
	if m.accepted[revision-1] != nil {
		t.Fatalf("revision %d has two changes", revision)
	}
	m.accepted[revision-1] = change.GetEntry()
}

// poll polls the log as a daemon, often enough that one poll reads the head whatever its version, and compares the book with
// the list.
func (m *listModel) poll(t *rapid.T, daemon int) {
	for range 9 {
		book, err := m.logs[daemon].Poll(context.Background(), m.books[daemon])
		if err != nil || book.Revision() < m.books[daemon].Revision() {
			t.Fatalf("book went from revision %d to %d: %v", m.books[daemon].Revision(), book.Revision(), err)
		}
		m.books[daemon] = book
	}
	book := m.books[daemon]
	if book.Revision() != uint64(len(m.accepted)) {
		t.Fatalf("book is at revision %d, list at %d", book.Revision(), len(m.accepted))
	}
	for _, e := range m.accepted {
		name := e.GetCustomer().GetName()
		got := book.Entry(mangoprofile.EntryCustomer, name)
		want := m.currentRevision(name)
		if got.GetRevision() != want || got.GetChangeId() != m.accepted[want-1].GetChangeId() {
			t.Fatalf("customer %q is %v, list has revision %d", name, got, want)
		}
	}
}

// restore restores the backup of the store. A daemon then repairs the log from the newest book, as one that gets
// KindStoreBehind does.
func (m *listModel) restore(t *rapid.T) {
	newest := mangoprofile.New()
	for i := range m.books {
		m.poll(t, i)
		newest = m.books[i]
	}
	m.store.Restore(m.backup)
	if err := m.logs[rapid.IntRange(0, 2).Draw(t, "repairer")].Repair(context.Background(), newest); err != nil {
		t.Fatal(err)
	}
}
