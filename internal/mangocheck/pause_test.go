package mangocheck

import (
	"context"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// scriptedNetwork is a Dialer whose attempts to reach a replica fail after the given times; those after the last one succeed.
type scriptedNetwork struct {
	fakeNetwork
	failures []time.Duration

	scriptMu sync.Mutex
	attempts int
}

func (n *scriptedNetwork) Reach(context.Context, string, time.Duration) error {
	n.scriptMu.Lock()
	i := n.attempts
	n.attempts++
	n.scriptMu.Unlock()
	if i >= len(n.failures) {
		return nil
	}
	time.Sleep(n.failures[i])
	return os.ErrDeadlineExceeded
}

// Guards against sound replicas that are found lost because a hub that is short of processor time handles the timer of a check
// late and before the connection that was made in time, and against a loss that is known too late because each check is repeated.
func TestLateTimersAreNoLosses(t *testing.T) {
	const onTime, late = checkTimeout + maxLate, checkTimeout + maxLate + time.Millisecond
	tests := []struct {
		name     string
		failures []time.Duration
		// othersReached says that another check of this hub reached its replica meanwhile.
		othersReached bool
		attempts      int
		lost          bool
		// told is the number of results that the other monitor was told.
		told int
	}{
		{"on time", []time.Duration{onTime}, false, 1, true, 1},
		{"late, then reached", []time.Duration{late}, false, 2, false, 1},
		{"late, then on time", []time.Duration{late, onTime}, false, 2, true, 1},
		{"always late", slices.Repeat([]time.Duration{late}, 9), false, 1 + maxRepeats, false, 0},
		{"always late, but other connections were noticed", slices.Repeat([]time.Duration{late}, 9), true, 1 + maxRepeats, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := &scriptedNetwork{failures: tt.failures}
				c := newChecker(mangostate.Member{Name: "a-0", DataCentre: "a"}, &n.fakeNetwork, hubs())
				c.dialer = n
				lost := false
				c.OnVerdict(func(*mangoreplica.Replica, mangoreplica.Cause) { lost = true }, func(*mangoreplica.Replica) {})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- c.Run(ctx) }()
				c.HandleRequests(mangostate.Member{Name: "a-7", DataCentre: "a"}, []mangoreplica.Incarnation{replica(0).Incarnation()})
				time.Sleep(confirmDelay + 10*time.Millisecond) // a-0 is the second monitor
				if tt.othersReached {
					c.mu.Lock()
					c.table.RecordWitness(replica(1), time.Now())
					c.mu.Unlock()
				}
				time.Sleep(time.Second)
				cancel()
				is.True(<-ended != nil)
				is.Equal(n.attempts, tt.attempts)
				is.Equal(lost, tt.lost)
				is.Equal(n.results, tt.told)
			})
		})
	}
}

// Guards against a pause in the middle of a check that is not noticed since the timer of the check itself is on time.
func TestPauseMeter(t *testing.T) {
	is := is.New(t)
	m := pauseMeter{last: at(0)}
	for _, ms := range []int{5, 10, 42, 45, 50} {
		m.record(at(ms))
	}
	is.Equal(m.longest, 27*time.Millisecond)
}

// Guards against replicas of one request that are checked one after the other: streams through the later ones would learn of their
// loss 45 ms later each.
func TestReplicasOfRequestAreCheckedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeNetwork{err: os.ErrDeadlineExceeded}
		c := newChecker(mangostate.Member{Name: "a-0", DataCentre: "a"}, n, hubs()[:1])
		var replicas []*mangoreplica.Replica
		var wanted []mangoreplica.Incarnation
		for i := range 4 {
			replicas, wanted = append(replicas, replica(i)), append(wanted, replica(i).Incarnation())
		}
		c.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(replicas), Members: hubs()[:1]}}
		begin := time.Now()
		for _, i := range wanted { // the other monitor has missed them as well, so the verdicts need no more than this hub's checks
			c.HandleResult(mangobroadcast.CheckResult{Replica: i, At: begin}, "a-1")
		}
		var at []time.Duration
		var mu sync.Mutex
		c.OnVerdict(func(*mangoreplica.Replica, mangoreplica.Cause) {
			mu.Lock()
			defer mu.Unlock()
			at = append(at, time.Since(begin))
		}, func(*mangoreplica.Replica) {})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- c.Run(ctx) }()
		c.HandleRequests(mangostate.Member{Name: "a-7", DataCentre: "a"}, wanted)
		time.Sleep(time.Second)
		cancel()
		is.True(<-ended != nil)
		is.Equal(at, slices.Repeat([]time.Duration{40*time.Millisecond + settleDelay}, 4))
	})
}
