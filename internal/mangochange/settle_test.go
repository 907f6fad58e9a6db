package mangochange_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangochange"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostorefake"
)

// fork returns a store that accepted other changes after it was restored from a backup, and a log and a book that have the
// changes from before the restore.
func fork(t *testing.T, beforeRestore, afterRestore []string, compact bool) (*mangostorefake.Store, *mangochange.Log, *mangoprofile.Book) {
	t.Helper()
	store := mangostorefake.New()
	log := mangochange.New(store)
	propose(t, log, "a")
	backup := store.Snapshot()
	propose(t, log, beforeRestore...)
	known, err := log.Poll(t.Context(), mangoprofile.New())
	is.New(t).NoErr(err)
	store.Restore(backup)
	other := mangochange.New(store)
	propose(t, other, afterRestore...)
	if compact {
		is.New(t).NoErr(other.Compact(t.Context()))
	}
	return store, log, known
}

// Guards against daemons that do not get past a fork, that keep different histories, or that mix both.
func TestSettle(t *testing.T) {
	for _, tt := range []struct {
		beforeRestore, afterRestore []string
		keptID                      string
	}{
		{[]string{"b", "c"}, []string{"x"}, "c"},
		{[]string{"b"}, []string{"x", "y"}, "y"},
		{[]string{"b"}, []string{"x"}, "x"},
		{[]string{"y"}, []string{"x"}, "y"},
	} {
		for _, compact := range []bool{false, true} {
			t.Run(fmt.Sprint(tt.beforeRestore, tt.afterRestore, compact), func(t *testing.T) {
				is := is.New(t)
				store, log, known := fork(t, tt.beforeRestore, tt.afterRestore, compact)
				second := mangochange.New(store)
				theirs, err := second.Poll(t.Context(), mangoprofile.New())
				is.NoErr(err)
				for range 2 {
					known, err = log.ResolveFork(t.Context(), known)
					is.NoErr(err)
					theirs, err = second.ResolveFork(t.Context(), theirs)
					is.NoErr(err)
				}
				fresh, err := mangochange.New(store).Poll(t.Context(), mangoprofile.New())
				is.NoErr(err)
				for _, book := range []*mangoprofile.Book{known, theirs, fresh} {
					is.Equal(book.LastChangeID(), tt.keptID)
					is.Equal(book.Revision(), fresh.Revision())
					for i := range mangoprofile.PageCount {
						is.Equal(len(book.Page(i)), len(fresh.Page(i)))
					}
				}
				propose(t, log, "later")
				propose(t, second, "last")
				for _, l := range []*mangochange.Log{log, second} {
					book, err := l.Poll(t.Context(), known)
					is.NoErr(err)
					is.Equal(book.LastChangeID(), "last")
				}
			})
		}
	}
}

// Guards against a log that becomes unreadable when a daemon stops between the writes of ResolveFork.
func TestSettleCrash(t *testing.T) {
	for step := 1; step <= 6; step++ {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			is := is.New(t)
			store, log, known := fork(t, []string{"b", "c", "d"}, []string{"x"}, true)
			writes := 0
			store.SetBeforeCall(func(op, _ string) {
				if op == "Put" || op == "Delete" {
					writes++
				}
				store.SetDown(writes >= step)
			})
			if _, err := log.ResolveFork(t.Context(), known); err != nil {
				is.Equal(kindOf(err), mangochange.KindUnavailable)
			}
			store.SetBeforeCall(nil)
			store.SetDown(false)
			book, err := mangochange.New(store).Poll(t.Context(), mangoprofile.New())
			is.NoErr(err)
			is.True(book.LastChangeID() == "x" || book.LastChangeID() == "d")
			book, err = mangochange.New(store).ResolveFork(t.Context(), known)
			is.NoErr(err)
			is.Equal(book.LastChangeID(), "d")
		})
	}
}
