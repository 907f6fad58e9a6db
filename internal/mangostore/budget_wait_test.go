package mangostore_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/internal/mangostorefake"
)

// limited refuses a number of writes for the platform's rate.
type limited struct {
	mangostore.ConditionalStore
	refuse int
}

func (l *limited) Put(ctx context.Context, item mangostore.Item) (uint64, error) {
	if l.refuse > 0 {
		l.refuse--
		return 0, &mangostore.Error{Op: "Put", Kind: mangostore.KindLimited}
	}
	return l.ConditionalStore.Put(ctx, item)
}

// Guards against writes refused in a short peak, writes that wait without a bound or past half of their deadline, and
// a queue that keeps other purposes from the budget.
func TestQueue(t *testing.T) {
	tests := []struct {
		name     string
		limit    int
		deadline time.Duration
		written  int
		took     time.Duration
	}{
		{"peak within the deadline", 200, 10 * time.Second, 200, 4 * time.Second},
		{"short deadline", 200, 2 * time.Second, 80, time.Second},
		{"full queue", 20, 10 * time.Second, 60, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := mangostore.NewBudget(mangostorefake.New(), 40, 40)
				store := b.ForPurpose("ledger", mangostore.WithQueue(tt.limit))
				ctx, cancel := context.WithTimeout(t.Context(), tt.deadline)
				defer cancel()
				var written atomic.Int64
				var wg sync.WaitGroup
				begin := time.Now()
				for range 200 {
					wg.Go(func() {
						if _, err := store.Grant(ctx, time.Hour); err == nil {
							written.Add(1)
						}
					})
					synctest.Wait()
				}
				_, err := b.ForPurpose("changes").Grant(t.Context(), time.Hour)
				is.NoErr(err) // behind one call of the queue
				wg.Wait()
				// The call of the other purpose took one token of the queue.
				is.True(int(written.Load()) >= tt.written-1 && int(written.Load()) <= tt.written)
				is.True((time.Since(begin) - tt.took).Abs() <= 100*time.Millisecond)
			})
		})
	}
}

// Guards against a refusal by the platform's own rate that fails a call although its deadline leaves time.
func TestQueueRepeatsRefusedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := &limited{ConditionalStore: mangostorefake.New(), refuse: 3}
		b := mangostore.NewBudget(inner, 100, 100)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.ForPurpose("ledger", mangostore.WithQueue(10)).Put(ctx, mangostore.Item{Key: "k"})
		is.NoErr(err)
		inner.refuse = 100
		_, err = b.ForPurpose("ledger", mangostore.WithQueue(10)).Put(ctx, mangostore.Item{Key: "l"})
		is.Equal(kindOf(err), mangostore.KindLimited)
	})
}

// Guards against writes that may be late and delay those that callers wait for, and against late writes that never come.
func TestSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := mangostore.NewBudget(mangostorefake.New(), 40, 40)
		store, spare := b.ForPurpose("ledger", mangostore.WithQueue(10)), b.ForPurpose("done", mangostore.WithLowPriority())
		var late atomic.Int64
		var wg sync.WaitGroup
		for range 60 {
			wg.Go(func() {
				if _, err := spare.Grant(t.Context(), time.Hour); err == nil {
					late.Add(1)
				}
			})
		}
		synctest.Wait()
		begin := time.Now()
		for range 10 {
			_, err := store.Grant(t.Context(), time.Hour)
			is.NoErr(err)
		}
		is.Equal(time.Since(begin), time.Duration(0))
		wg.Wait()
		is.Equal(int(late.Load()), 60)
	})
}
