package test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// Guards against changes that take longer than changeBound to be in force on all entry hosts, both with the store up and
// with the store down right after it accepted the change, so that it spreads only between peers.
func TestChangeTimes(t *testing.T) {
	f := newTwoVersionFleet(t, 8)
	for _, down := range []bool{false, true} {
		var took []time.Duration
		for i := range 5 {
			target := []string{"tekst-v2", "tekst-v1"}[i%2]
			expected := aliasRevision(t, f.entryHosts[i], "tekst")
			before := configRevision(f.entryHosts[i])
			mustPropose(t, f.entryHosts[i], newChange(fmt.Sprintf("s-%v-%d", down, i), expected, aliasEntry("tekst", target)))
			begin := time.Now()
			f.setStandInFaults(f.platformAddress, map[string]any{"Down": down})
			took = append(took, f.waitForRevision(before+1, begin))
			f.setStandInFaults(f.platformAddress, map[string]any{"Down": false})
			waitForVersion(t, f.entryHosts, "tekst", target[len("tekst-"):])
		}
		slices.Sort(took)
		t.Logf("store down after acceptance: %v; in force on 8 entry hosts: median %v, worst %v", down, took[2], took[4])
		if took[4] > changeBound {
			t.Errorf("slowest change took %v, bound is %v", took[4], changeBound)
		}
	}
}

// waitForRevision waits until all entry hosts have a revision, for twice changeBound at most, and returns the time since
// begin.
func (f *fleet) waitForRevision(n uint64, begin time.Time) time.Duration {
	f.t.Helper()
	var group sync.WaitGroup
	for _, e := range f.entryHosts {
		group.Go(func() {
			for time.Since(begin) < 2*changeBound && configRevision(e) < n {
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return time.Since(begin)
}
