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

const customerCount = 17000

func newCustomers() []*mangomessage.Customer {
	list := make([]*mangomessage.Customer, customerCount)
	for i := range list {
		list[i] = &mangomessage.Customer{Name: fmt.Sprint("customer", i), RatePerSecond: 10}
	}
	return list
}

// heapInUse returns the size of the live heap after a garbage collection.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against more state per customer than fits into the daemon's 256 MB. The bound leaves most of that to calls.
func TestMemoryPerCustomerIsBounded(t *testing.T) {
	is := is.New(t)
	list := newCustomers()
	before, now := heapInUse(), time.Now()
	l, q := NewLimiter(), NewQueue(WithMaxQueue(customerCount))
	q.SetSlots("p", 1)
	for _, c := range list {
		is.NoErr(l.Allow(c, now))
	}
	afterLimiter := heapInUse()
	for _, c := range list {
		_, refusal := q.startOrEnqueue(Request{Customer: c.GetName(), Pool: "p"}, now)
		is.True(refusal == nil)
	}
	afterQueue := heapInUse()
	t.Logf("bytes per customer: limiter %d, queue with one call each %d", (afterLimiter-before)/customerCount, (afterQueue-afterLimiter)/customerCount)
	is.True(afterQueue-before < 32<<20)
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

// BenchmarkAcquireQueued measures one call that enters and one that leaves a queue of 2000 calls of as many customers.
func BenchmarkAcquireQueued(b *testing.B) {
	q, list := NewQueue(WithMaxQueue(1<<30)), newCustomers()
	q.SetSlots("p", 1)
	now := time.Now()
	for i := range 2000 {
		_, _ = q.startOrEnqueue(Request{Customer: list[i].GetName(), Pool: "p"}, now)
	}
	i := 0
	for b.Loop() {
		i++
		_, _ = q.startOrEnqueue(Request{Customer: list[i%customerCount].GetName(), Pool: "p", Deadline: now.Add(time.Hour)}, now)
		q.releaseFunc(&waiter{poolQueue: q.poolQueues["p"], cost: 1})()
	}
}

// BenchmarkAcquireFull measures a call to a full queue, which refuses it or a queued call of another customer.
func BenchmarkAcquireFull(b *testing.B) {
	q, list := NewQueue(), newCustomers()
	q.SetSlots("p", 1)
	now := time.Now()
	for i := range 2001 {
		_, _ = q.startOrEnqueue(Request{Customer: list[i%1000].GetName(), Pool: "p"}, now)
	}
	i := 0
	for b.Loop() {
		i++
		_, _ = q.startOrEnqueue(Request{Customer: list[i%customerCount].GetName(), Pool: "p"}, now)
	}
}

func BenchmarkAllow(b *testing.B) {
	l, list := NewLimiter(), newCustomers()
	l.SetDaemonCount(410)
	i := 0
	for b.Loop() {
		i++
		_ = l.Allow(list[i%customerCount], time.Now())
	}
}
