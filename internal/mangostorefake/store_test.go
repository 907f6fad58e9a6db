package mangostorefake_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/internal/mangostorefake"
)

// kindOf returns the kind of a store error, or 0 for other errors.
func kindOf(err error) mangostore.Kind {
	var e *mangostore.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// Guards against injected faults that differ from their documentation: a write with a lost reply takes effect, one with a
// lost request does not, and a write by the function of SetBeforeCall comes before the call.
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

// Guards against keys that outlive their lease, and leases that can be renewed after their end.
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

// Guards against a mangostore.Budget that lets calls exceed it, counts them under another purpose, or refuses a call for
// which there is a token because the wait for it has ended.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := mangostore.NewBudget(mangostorefake.New(), 2, 1, mangostore.WithBudgetWait(time.Nanosecond))
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
