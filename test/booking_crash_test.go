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
		f.startEntryHost(entryName(i), "nieuwegein")
	}
	var hosts []string
	for _, name := range []string{"opvang-1", "opvang-2", "opvang-3"} {
		f.setStandInFaults(f.startService(name, "nieuwegein"), map[string]any{"CrashOnBody": "poison"})
		hosts = append(hosts, name)
	}
	f.publishHostList()
	mustPropose(t, f.entryHosts[0],
		newChange("c1", 0, customerEntry("shelter", digestOf(customerKey))),
		newChange("c2", 0, profileEntry(serviceProfile("lookup", "nieuwegein", false, hosts...))))
	for _, e := range f.entryHosts {
		eventually(t, startTimeout, "first lookup", func() bool {
			return requestBooking(context.Background(), e, "lookup", "", "{}").status == 200
		})
	}
	for i := range 4 {
		begin := time.Now()
		a := requestBooking(context.Background(), f.entryHosts[i%2], "lookup", "", "poison")
		lost := 0
		for _, p := range f.services {
			if p.waitForExit(50*time.Millisecond) != -1 {
				lost++
			}
		}
		t.Logf("poison lookup on %s: status=%d outcome=%s lost=%d took=%v", f.entryHosts[i%2].name, a.status, a.outcome, lost, time.Since(begin))
		is.Equal(a.outcome, "Rejected")
		is.Equal(lost, 2)
	}
	for _, e := range f.entryHosts {
		is.Equal(requestBooking(context.Background(), e, "lookup", "", "{}").status, 200)
	}
}
