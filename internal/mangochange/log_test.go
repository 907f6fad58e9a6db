package mangochange_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangochange"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/internal/mangostorefake"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// customer returns a change that sets a customer; the id is that of the change.
func customer(expected uint64, name, id string) *mangomessage.Change {
	return &mangomessage.Change{ExpectedRevision: expected, Entry: &mangomessage.Entry{
		ChangeId: id, Content: &mangomessage.Entry_Customer{Customer: &mangomessage.Customer{Name: name}},
	}}
}

func kindOf(err error) mangochange.Kind {
	var e *mangochange.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// propose adds a customer for each id, which is both its name and the id of the change.
func propose(t *testing.T, log *mangochange.Log, ids ...string) {
	t.Helper()
	for _, id := range ids {
		_, err := log.Propose(t.Context(), customer(0, id, id))
		is.New(t).NoErr(err)
	}
}

// Guards against a second operator who overwrites an entry that the first one wrote in the meantime, without seeing it.
func TestConflictShowsPresentEntry(t *testing.T) {
	is := is.New(t)
	log := mangochange.New(mangostorefake.New())
	propose(t, log, "ann")
	_, err := log.Propose(t.Context(), customer(0, "ann", "second"))
	var e *mangochange.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, mangochange.KindConflict)
	is.Equal(e.Present.GetChangeId(), "ann")
}

// Guards against a change that is lost, accepted twice or reported wrongly when the request or reply of its write is lost.
func TestLostWrites(t *testing.T) {
	tests := []struct {
		name   string
		inject func(*mangostorefake.Store)
		want   mangochange.Kind
	}{
		{"lost reply", func(s *mangostorefake.Store) { s.LoseReplies(1) }, 0},
		{"lost request", func(s *mangostorefake.Store) { s.LoseRequests(2) }, 0},
		{"store down", func(s *mangostorefake.Store) { s.SetDown(true) }, mangochange.KindUnavailable},
		{"lost reply, then store down", func(s *mangostorefake.Store) {
			s.LoseReplies(1)
			puts := 0
			s.SetBeforeCall(func(op, _ string) {
				if op == "Put" {
					puts++
				}
				s.SetDown(puts > 0 && op == "Get")
			})
		}, mangochange.KindUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := mangostorefake.New()
			log := mangochange.New(store)
			propose(t, log, "a")
			tt.inject(store)
			_, err := log.Propose(t.Context(), customer(0, "b", "b"))
			is.Equal(kindOf(err), tt.want)
			store.SetBeforeCall(nil)
			store.SetDown(false)
			revision, err := log.Propose(t.Context(), customer(0, "b", "b"))
			is.NoErr(err)
			is.Equal(revision, uint64(2))
		})
	}
}

// Guards against a retry after a lost write that overwrites a value which another writer wrote in the meantime.
func TestRetryDoesNotOverwrite(t *testing.T) {
	is := is.New(t)
	store := mangostorefake.New()
	log, other := mangochange.New(store), mangochange.New(store)
	propose(t, log, "a")
	store.LoseRequests(1)
	gets := 0
	store.SetBeforeCall(func(op, _ string) {
		if op != "Get" {
			return
		}
		if gets++; gets == 2 {
			_, err := other.Propose(t.Context(), customer(1, "a", "newer"))
			is.NoErr(err)
		}
	})
	_, err := log.Propose(t.Context(), customer(1, "a", "older"))
	is.Equal(kindOf(err), mangochange.KindConflict)
}

// Guards against a log that becomes unreadable when the store fails at any write of a compaction, as after a crash there.
func TestCompactionCrash(t *testing.T) {
	for step := 1; step <= 8; step++ {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			is := is.New(t)
			store := mangostorefake.New()
			log := mangochange.New(store, mangochange.WithTailLimit(100, 1<<20))
			propose(t, log, "a", "b", "c")
			is.NoErr(log.Compact(t.Context()))
			propose(t, log, "d", "e", "f")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			writes := 0
			store.SetBeforeCall(func(op, _ string) {
				if op == "Put" || op == "Delete" {
					writes++
				}
				store.SetDown(writes >= step)
			})
			if err := log.Compact(ctx); err != nil {
				is.Equal(kindOf(err), mangochange.KindUnavailable)
			}
			store.SetBeforeCall(nil)
			store.SetDown(false)
			book, err := mangochange.New(store).Poll(t.Context(), mangoprofile.New())
			is.NoErr(err)
			is.Equal(book.Revision(), uint64(6))
			is.Equal(len(book.Entries(mangoprofile.EntryCustomer)), 6)
			propose(t, log, "g")
			is.NoErr(log.Compact(t.Context()))
		})
	}
}

// Guards against replaced pages that are never deleted, or so early that a reader of the previous head still needs them.
func TestPagesAreDeletedAfterOneGeneration(t *testing.T) {
	is := is.New(t)
	store := mangostorefake.New()
	log := mangochange.New(store)
	var counts []int
	for i := range 4 {
		_, err := log.Propose(t.Context(), customer(uint64(i), "a", fmt.Sprint(i)))
		is.NoErr(err)
		is.NoErr(log.Compact(t.Context()))
		items, err := store.List(t.Context(), "Mangopath/Page/")
		is.NoErr(err)
		counts = append(counts, len(items))
	}
	is.Equal(counts, []int{1, 2, 2, 2})
}

// Guards against accepted changes that are lost when the store is restored from an older backup, and against a daemon whose
// book goes back to an older revision.
func TestRestoreIsRepaired(t *testing.T) {
	is := is.New(t)
	store := mangostorefake.New()
	log := mangochange.New(store)
	propose(t, log, "a", "b")
	backup := store.Snapshot()
	propose(t, log, "c", "d")
	known, err := log.Poll(t.Context(), mangoprofile.New())
	is.NoErr(err)
	store.Restore(backup)
	behindCount := 0
	for range 8 {
		book, err := log.Poll(t.Context(), known)
		is.Equal(book.Revision(), uint64(4))
		if kindOf(err) == mangochange.KindStoreBehind {
			behindCount++
		}
	}
	is.Equal(behindCount, 1) // only one poll of eight reads a head whose version is not above the known one
	is.NoErr(log.Repair(t.Context(), known))
	fresh, err := mangochange.New(store).Poll(t.Context(), mangoprofile.New())
	is.NoErr(err)
	is.Equal(fresh.Revision(), uint64(4))
	is.Equal(fresh.LastChangeID(), "d")
}

// Guards against a mix of two histories: Poll and Repair must report a fork, whichever history is longer.
func TestFork(t *testing.T) {
	for extra := range 3 {
		t.Run(fmt.Sprint(extra), func(t *testing.T) {
			is := is.New(t)
			store := mangostorefake.New()
			log := mangochange.New(store)
			propose(t, log, "a")
			backup := store.Snapshot()
			propose(t, log, "b", "c")
			known, err := log.Poll(t.Context(), mangoprofile.New())
			is.NoErr(err)
			store.Restore(backup)
			propose(t, mangochange.New(store), []string{"x", "y", "z"}[:extra+1]...)
			book, err := mangochange.New(store).Poll(t.Context(), known)
			is.Equal(kindOf(err), mangochange.KindFork)
			is.Equal(book.LastChangeID(), "c")
			is.Equal(kindOf(log.Repair(t.Context(), known)), mangochange.KindFork)
		})
	}
}

// Guards against polls that read the head or pages without need.
func TestPollReadsOnlyWhatItLacks(t *testing.T) {
	is := is.New(t)
	store := mangostorefake.New()
	writer, reader := mangochange.New(store), mangochange.New(store)
	propose(t, writer, "a", "b", "c")
	is.NoErr(writer.Compact(t.Context()))
	book, err := reader.Poll(t.Context(), mangoprofile.New())
	is.NoErr(err)
	proposalGets := store.CallCount("Get")
	propose(t, writer, "d")
	proposalGets = store.CallCount("Get") - proposalGets
	is.NoErr(writer.Compact(t.Context()))
	before := store.CallCount("Get")
	book, err = reader.Poll(t.Context(), book)
	is.NoErr(err)
	is.Equal(book.Revision(), uint64(4))
	is.Equal(store.CallCount("Get")-before, 1) // only the page of customer d
	is.Equal(proposalGets, 1)                  // a proposal reads the head once
	_, err = reader.Poll(t.Context(), book)
	is.NoErr(err)
	is.Equal(store.CallCount("Get")-before, 1)
}

// Guards against a proposal that fails as if the log were corrupt because compactions of other writers delete a page between
// its reads of the head and of that page.
func TestProposalDuringCompactions(t *testing.T) {
	for compactions := 1; compactions <= 3; compactions++ {
		t.Run(fmt.Sprint(compactions), func(t *testing.T) {
			is := is.New(t)
			store := mangostorefake.New()
			other := mangochange.New(store)
			propose(t, other, "a")
			is.NoErr(other.Compact(t.Context()))
			done := false
			store.SetBeforeCall(func(op, key string) {
				if op != "Get" || !strings.Contains(key, "/Page/") || done {
					return
				}
				done = true
				for i := range compactions {
					// Each change of the only entry replaces its page.
					_, err := other.Propose(t.Context(), customer(uint64(i+1), "a", fmt.Sprint("b", i)))
					is.NoErr(err)
					is.NoErr(other.Compact(t.Context()))
				}
			})
			revision, err := mangochange.New(store).Propose(t.Context(), customer(0, "z", "z"))
			is.NoErr(err)
			is.Equal(revision, uint64(compactions+2))
		})
	}
}

// Guards against changes that are lost, accepted twice or at the wrong revision with concurrent writers.
func TestConcurrentWriters(t *testing.T) {
	is := is.New(t)
	store := mangostorefake.New()
	var wg sync.WaitGroup
	results := make([]map[uint64]string, 4)
	for w := range results {
		results[w] = map[uint64]string{}
		wg.Go(func() {
			log := mangochange.New(store, mangochange.WithTailLimit(5, 1<<20))
			for i := range 15 {
				id := fmt.Sprintf("w%d-%d", w, i)
				revision, err := log.Propose(t.Context(), customer(0, id, id))
				if err == nil {
					results[w][revision] = id
				} else if kindOf(err) != mangochange.KindContention {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	book, err := mangochange.New(store).Poll(t.Context(), mangoprofile.New())
	is.NoErr(err)
	total := 0
	for _, r := range results {
		for revision, id := range r {
			is.Equal(book.Entry(mangoprofile.EntryCustomer, id).GetRevision(), revision)
		}
		total += len(r)
	}
	is.Equal(len(book.Entries(mangoprofile.EntryCustomer)), total)
	is.Equal(book.Revision(), uint64(total))
}

// Guards against a head whose tail grows beyond the largest value that the store accepts.
func TestLargeTailIsCompacted(t *testing.T) {
	is := is.New(t)
	store := mangostorefake.New()
	log := mangochange.New(store)
	for i := range 12 {
		change := customer(0, fmt.Sprint("c", i), fmt.Sprint(i))
		change.GetEntry().GetCustomer().Profiles = slices.Repeat([]string{strings.Repeat("p", 120)}, 500)
		_, err := log.Propose(t.Context(), change)
		is.NoErr(err)
	}
	item, err := store.Get(t.Context(), mangochange.HeadKey)
	is.NoErr(err)
	is.True(len(item.Value) < 200<<10)
	var _ mangochange.Store = mangostore.ConditionalStore(store)
}
