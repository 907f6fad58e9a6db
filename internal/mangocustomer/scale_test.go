package mangocustomer

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const many = 17000

func customers() []*mangomessage.Customer {
	list := make([]*mangomessage.Customer, many)
	for i := range list {
		list[i] = &mangomessage.Customer{Name: fmt.Sprint("customer", i), RatePerSecond: 10}
	}
	return list
}

func inUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against state for each customer that does not fit the daemon's 256 MB; the bound leaves most of it to calls.
func TestMemoryOfManyCustomers(t *testing.T) {
	is := is.New(t)
	list := customers()
	before, now := inUse(), time.Now()
	l, q := NewLimiter(), NewQueue(WithMaxQueue(many))
	q.SetSlots("p", 1)
	for _, c := range list {
		is.NoErr(l.Allow(c, now))
	}
	rates := inUse()
	for _, c := range list {
		_, failed := q.enter(Request{Customer: c.GetName(), Pool: "p"}, now)
		is.True(failed == nil)
	}
	queued := inUse()
	t.Logf("bytes for a customer: limiter %d, queue with a call of each %d", (rates-before)/many, (queued-rates)/many)
	is.True(queued-before < 32<<20)
	runtime.KeepAlive(l)
	runtime.KeepAlive(q)
}

func BenchmarkAcquireFree(b *testing.B) {
	q := NewQueue()
	q.SetSlots("p", 1)
	for b.Loop() {
		release, _ := q.Acquire(context.Background(), Request{Customer: "c", Pool: "p", Deadline: time.Now().Add(time.Hour)})
		release()
	}
}

// BenchmarkAcquireQueued measures a call that enters a queue of 2000 calls of as many customers and one that leaves it.
func BenchmarkAcquireQueued(b *testing.B) {
	q, list := NewQueue(WithMaxQueue(1<<30)), customers()
	q.SetSlots("p", 1)
	now := time.Now()
	for i := range 2000 {
		_, _ = q.enter(Request{Customer: list[i].GetName(), Pool: "p"}, now)
	}
	i := 0
	for b.Loop() {
		i++
		_, _ = q.enter(Request{Customer: list[i%many].GetName(), Pool: "p", Deadline: now.Add(time.Hour)}, now)
		q.releaser(&waiter{lane: q.lanes["p"], cost: 1})()
	}
}

// BenchmarkAcquireFull measures a refusal or displacement in a full queue.
func BenchmarkAcquireFull(b *testing.B) {
	q, list := NewQueue(), customers()
	q.SetSlots("p", 1)
	now := time.Now()
	for i := range 2001 {
		_, _ = q.enter(Request{Customer: list[i%1000].GetName(), Pool: "p"}, now)
	}
	i := 0
	for b.Loop() {
		i++
		_, _ = q.enter(Request{Customer: list[i%many].GetName(), Pool: "p"}, now)
	}
}

func BenchmarkAllow(b *testing.B) {
	l, list := NewLimiter(), customers()
	l.SetDaemons(410)
	i := 0
	for b.Loop() {
		i++
		_ = l.Allow(list[i%many], time.Now())
	}
}
