package mangostorefake_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/internal/mangostorefake"
)

func kindOf(err error) mangostore.Kind {
	var e *mangostore.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// Guards against faults that do not behave as tests assume: a lost reply must leave the effect, a lost request must not.
func TestFaults(t *testing.T) {
	is := is.New(t)
	s := mangostorefake.New()
	s.LoseReplies(1)
	_, err := s.Put(t.Context(), mangostore.Item{Key: "k", Value: []byte("1")})
	is.Equal(kindOf(err), mangostore.KindUnknown)
	item, err := s.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(item.Value), "1")
	snapshot := s.Snapshot()
	s.LoseRequests(1)
	is.Equal(kindOf(s.Delete(t.Context(), "k", item.Version)), mangostore.KindUnknown)
	s.SetBeforeCall(func(op, _ string) {
		if op == "Delete" {
			_, err := s.Put(t.Context(), item)
			is.NoErr(err)
		}
	})
	is.Equal(kindOf(s.Delete(t.Context(), "k", item.Version)), mangostore.KindConflict)
	s.SetBeforeCall(nil)
	s.Restore(snapshot)
	s.SetDown(true)
	is.Equal(kindOf(s.Delete(t.Context(), "k", item.Version)), mangostore.KindUnavailable)
	s.SetDown(false)
	is.NoErr(s.Delete(t.Context(), "k", item.Version))
}

// Guards against keys that outlive their lease.
func TestLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := mangostorefake.New(mangostorefake.WithClock(func() time.Time { return now }))
	lease, err := s.Grant(t.Context(), time.Second)
	is.NoErr(err)
	_, err = s.Put(t.Context(), mangostore.Item{Key: "k", LeaseID: lease})
	is.NoErr(err)
	now = now.Add(time.Second)
	item, err := s.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(item.Version, uint64(0))
	is.Equal(kindOf(s.Renew(t.Context(), lease)), mangostore.KindLeaseLost)
}

// Guards against calls that exceed the budget or are counted under another purpose.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := mangostore.NewBudget(mangostorefake.New(), 2, 1, mangostore.WithBudgetWait(time.Millisecond))
	poll, ledger := b.ForPurpose("Poll"), b.ForPurpose("Ledger")
	for range 2 {
		_, err := poll.Get(t.Context(), "k")
		is.NoErr(err)
	}
	_, err := ledger.Get(t.Context(), "k")
	is.Equal(kindOf(err), mangostore.KindLimited)
	_, err = ledger.Put(t.Context(), mangostore.Item{Key: "k"})
	is.NoErr(err)
	is.Equal(b.Counts(), []mangostore.CallCounts{
		{Purpose: "Ledger", Writes: 1, Refused: 1}, {Purpose: "Poll", Reads: 2},
	})
}
