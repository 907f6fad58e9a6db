package mangocustomer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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
		sum := sha256.Sum256([]byte(fmt.Sprint("key", i)))
		list[i] = &mangomessage.Customer{
			Name: fmt.Sprint("customer", i), RatePerSecond: 10, KeyDigests: []string{hex.EncodeToString(sum[:])},
		}
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
	a, err := NewAuthenticator(list)
	is.NoErr(err)
	keys := inUse()
	l, q := NewLimiter(), NewQueue(WithMaxQueue(many))
	q.SetSlots("p", 1)
	for _, c := range list {
		is.NoErr(l.Allow(c, now))
	}
	rates := inUse()
	for _, c := range list {
		_, failed := q.enter(Request{Customer: c.GetName(), Profile: "p"}, now)
		is.True(failed == nil)
	}
	queued := inUse()
	t.Logf("bytes for a customer: authenticator %d, limiter %d, queue with a call of each %d",
		(keys-before)/many, (rates-keys)/many, (queued-rates)/many)
	is.True(queued-before < 32<<20)
	_, ok := a.Authenticate("Bearer key16999")
	is.True(ok)
	runtime.KeepAlive(l)
	runtime.KeepAlive(q)
}

// Guards against keys that pass for another customer's and digests that identify nobody.
func TestAuthenticator(t *testing.T) {
	list := customers()[:2]
	a, err := NewAuthenticator(list)
	is.New(t).NoErr(err)
	tests := []struct {
		header, customer string
	}{
		{"Bearer key1", "customer1"},
		{"bearer key0", "customer0"},
		{"Bearer key2", ""},
		{"Bearer " + list[0].GetKeyDigests()[0], ""},
		{"Basic key1", ""},
		{"Bearer ", ""},
		{"", ""},
	}
	for _, tt := range tests {
		t.Run(tt.header, func(t *testing.T) {
			c, ok := a.Authenticate(tt.header)
			is.New(t).Equal(c.GetName(), tt.customer)
			is.New(t).Equal(ok, tt.customer != "")
		})
	}
	for _, bad := range []string{"", "12", "zz", list[0].GetKeyDigests()[0]} {
		other := &mangomessage.Customer{Name: "other", KeyDigests: []string{bad}}
		_, err := NewAuthenticator(append(list, other))
		is.New(t).True(err != nil)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	a, _ := NewAuthenticator(customers())
	for b.Loop() {
		a.Authenticate("Bearer key123")
	}
}

func BenchmarkAcquireFree(b *testing.B) {
	q := NewQueue()
	q.SetSlots("p", 1)
	for b.Loop() {
		release, _ := q.Acquire(context.Background(), Request{Customer: "c", Profile: "p", Deadline: time.Now().Add(time.Hour)})
		release()
	}
}

// BenchmarkAcquireQueued measures a call that enters a queue of 2000 calls of as many customers and one that leaves it.
func BenchmarkAcquireQueued(b *testing.B) {
	q, list := NewQueue(WithMaxQueue(1<<30)), customers()
	q.SetSlots("p", 1)
	now := time.Now()
	for i := range 2000 {
		_, _ = q.enter(Request{Customer: list[i].GetName(), Profile: "p"}, now)
	}
	i := 0
	for b.Loop() {
		i++
		_, _ = q.enter(Request{Customer: list[i%many].GetName(), Profile: "p", Deadline: now.Add(time.Hour)}, now)
		q.releaser(&waiter{lane: q.lanes["p"], cost: 1})()
	}
}

// BenchmarkAcquireFull measures a refusal or displacement in a full queue.
func BenchmarkAcquireFull(b *testing.B) {
	q, list := NewQueue(), customers()
	q.SetSlots("p", 1)
	now := time.Now()
	for i := range 2001 {
		_, _ = q.enter(Request{Customer: list[i%1000].GetName(), Profile: "p"}, now)
	}
	i := 0
	for b.Loop() {
		i++
		_, _ = q.enter(Request{Customer: list[i%many].GetName(), Profile: "p"}, now)
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
