package mangomemory

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against accounts that together hold more than the pool, and against bytes that are never given back.
func TestPoolBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity, accounts = 1000, 5
		pool := New(capacity)
		var list [accounts]*Account
		var want [accounts]int64
		for i := range list {
			list[i] = pool.Open()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i, n := rapid.IntRange(0, accounts-1).Draw(t, "account"), rapid.Int64Range(0, capacity+1).Draw(t, "bytes")
			sum := n - want[i]
			for _, w := range want {
				sum += w
			}
			fits := sum <= capacity || n <= want[i]
			if list[i].Hold(n) != fits {
				t.Fatalf("Hold(%d) with %v held is not %t", n, want, fits)
			}
			if fits {
				want[i] = n
			}
			if list[i].Held() != want[i] || pool.Used() > capacity {
				t.Fatalf("holds %d instead of %d, %d in all", list[i].Held(), want[i], pool.Used())
			}
		}
		for _, a := range list {
			a.Close()
		}
		if pool.Used() != 0 {
			t.Fatalf("%d bytes are not given back", pool.Used())
		}
	})
}

// Guards against a race between accounts.
func TestPoolConcurrently(t *testing.T) {
	is := is.New(t)
	pool := New(40)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			a := pool.Open()
			defer a.Close()
			for n := range 1000 {
				a.Hold(int64(n % 50))
			}
		})
	}
	group.Wait()
	is.Equal(pool.Used(), int64(0))
	is.True(pool.Refusals() > 0)
}
