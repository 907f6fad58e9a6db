package test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPoisonLookupCrashesTwoReplicas guards against a poison request to a plain service that is retried until it has crashed
// more than two replicas, on one entry host or when its caller sends it again to the other one at once.
func TestPoisonLookupCrashesTwoReplicas(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	for i := range 2 {
		f.entry(entryName(i), "nieuwegein")
	}
	var hosts []string
	for _, name := range []string{"opvang-1", "opvang-2", "opvang-3"} {
		f.faults(f.service(name, "nieuwegein"), map[string]any{"CrashOnBody": "poison"})
		hosts = append(hosts, name)
	}
	f.publish()
	declare(t, f.entries[0],
		change("c1", 0, customerEntry("shelter", digestOf(customerKey))),
		change("c2", 0, profileEntry(serviceProfile("lookup", "nieuwegein", false, hosts...))))
	for _, e := range f.entries {
		eventually(t, startTimeout, "first lookup", func() bool {
			return book(context.Background(), e, "lookup", "", "{}").status == 200
		})
	}
	for i := range 4 {
		begin := time.Now()
		a := book(context.Background(), f.entries[i%2], "lookup", "", "poison")
		lost := 0
		for _, p := range f.services {
			if p.wait(50*time.Millisecond) != -1 {
				lost++
			}
		}
		t.Logf("poison lookup on %s: status=%d outcome=%s lost=%d took=%v", f.entries[i%2].name, a.status, a.outcome, lost, time.Since(begin))
		is.Equal(a.outcome, "Rejected")
		is.Equal(lost, 2)
	}
	for _, e := range f.entries {
		is.Equal(book(context.Background(), e, "lookup", "", "{}").status, 200)
	}
}
