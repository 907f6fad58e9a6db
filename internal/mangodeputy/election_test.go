package mangodeputy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// Guards against a deputy while another daemon places layers, against having none when all others are silent, and against a
// deputy under a fencing number that a replica refused.
func TestElection(t *testing.T) {
	tests := []struct {
		name  string
		rank  int
		apply func(e *election)
		at    int
		state clusterState
		want  bool
	}{
		{"the store is reachable", 0, func(*election) {}, 9000, clusterState{fence: 4}, false},
		{"no wait yet", 0, func(*election) {}, 0, clusterState{storeUnreachable: true, fence: 4}, false},
		{"the first daemon after its wait", 0, func(*election) {}, 900, clusterState{storeUnreachable: true, fence: 4}, true},
		{"a later daemon after the wait of the first", 2, func(*election) {}, 900, clusterState{storeUnreachable: true, fence: 4}, false},
		{"a later daemon after its own wait", 2, func(*election) {}, 1500, clusterState{storeUnreachable: true, fence: 4}, true},
		{"no lease holder is known", 0, func(*election) {}, 9000, clusterState{storeUnreachable: true}, false},
		{"this daemon holds the lease", 0, func(*election) {}, 0, clusterState{storeUnreachable: true, holdsLease: true}, true},
		{"a recent claim of another daemon", 0, func(e *election) { e.handleClaim(claim{name: "z", fence: 4}, at(500)) }, 1000, clusterState{storeUnreachable: true, fence: 4}, false},
		{"the other daemon no longer sends claims", 0, func(e *election) { e.handleClaim(claim{name: "z", fence: 4}, at(500)) }, 1500, clusterState{storeUnreachable: true, fence: 4}, true},
		{"a replica refused the fencing number", 0, func(e *election) { e.renounce(4) }, 9000, clusterState{storeUnreachable: true, fence: 4}, false},
		{"a later lease holder has a higher fencing number", 0, func(e *election) { e.renounce(4) }, 9000, clusterState{storeUnreachable: true, fence: 5}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := &election{name: "m"}
			start := clusterState{storeUnreachable: true, fence: tt.state.fence, rank: tt.rank}
			e.update(start, at(0))
			tt.apply(e)
			tt.state.rank = tt.rank
			is.Equal(e.update(tt.state, at(tt.at)), tt.want)
		})
	}
}

// Guards against two deputies that both stay or both step down when they receive each other's claims.
func TestCompetingDeputies(t *testing.T) {
	tests := []struct {
		name string
		c    claim
		want bool
	}{
		{"the other has an earlier name", claim{name: "a", fence: 4}, false},
		{"the other has a later name", claim{name: "z", fence: 4}, true},
		{"the other has a higher fencing number", claim{name: "z", fence: 5}, false},
		{"the other has a lower fencing number", claim{name: "a", fence: 3}, true},
		{"the other holds the lease", claim{name: "z", fence: 4, holdsLease: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := &election{name: "m", acting: true, fence: 4, silentSince: at(0)}
			is.Equal(e.handleClaim(tt.c, at(10)), !tt.want)
			is.Equal(e.acting, tt.want)
		})
	}
}

// fleet simulates daemons that exchange claims with random delays, in network partitions, while some of them stop.
type fleet struct {
	// The first four have an element for each daemon; lastClaim is in milliseconds.
	elections []*election
	stopped   []bool
	partition []int
	lastClaim []int
	messages  []message
}

// message is a claim on its way to a daemon.
type message struct {
	deliverAt, to int
	claim         claim
}

// run advances the fleet from start to end, both in milliseconds.
func (f *fleet) run(t *rapid.T, start, end int, delay *rapid.Generator[int]) {
	for ms := start; ms < end; ms += int(updateInterval / time.Millisecond) {
		for _, m := range f.messages {
			if m.deliverAt > ms-100 && m.deliverAt <= ms && !f.stopped[m.to] {
				f.elections[m.to].handleClaim(m.claim, at(ms))
			}
		}
		for i, e := range f.elections {
			if f.stopped[i] {
				continue
			}
			if !e.update(clusterState{storeUnreachable: true, fence: 7, rank: i, daemons: len(f.elections)}, at(ms)) || ms-f.lastClaim[i] < 300 {
				continue
			}
			f.lastClaim[i] = ms
			for j := range f.elections {
				if j != i && f.partition[j] == f.partition[i] {
					f.messages = append(f.messages, message{deliverAt: ms + delay.Draw(t, "delay"), to: j, claim: claim{name: e.name, fence: e.fence}})
				}
			}
		}
	}
}

// countActing returns the number of deputies in a partition.
func (f *fleet) countActing(partition int) int {
	n := 0
	for i, e := range f.elections {
		if f.partition[i] == partition && !f.stopped[i] && e.acting {
			n++
		}
	}
	return n
}

// Guards against a network partition without a deputy or with several after deputies stopped.
func TestOneDeputyPerPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "daemons")
		partitions := rapid.IntRange(1, 3).Draw(t, "partitions")
		f := &fleet{stopped: make([]bool, n), partition: make([]int, n), lastClaim: make([]int, n)}
		for i := range n {
			f.elections = append(f.elections, &election{name: fmt.Sprint(i)})
			f.partition[i] = rapid.IntRange(0, partitions-1).Draw(t, "partition")
			f.lastClaim[i] = -1000
		}
		delay := rapid.IntRange(0, 100)
		f.run(t, 0, 6000, delay)
		for i := range n {
			f.stopped[i] = rapid.Bool().Draw(t, "stopped")
		}
		f.run(t, 6000, 12000, delay)
		for p := range partitions {
			live := 0
			for i := range n {
				if f.partition[i] == p && !f.stopped[i] {
					live++
				}
			}
			if got := f.countActing(p); got != min(live, 1) {
				t.Fatalf("partition %d has %d live daemons and %d deputies", p, live, got)
			}
		}
	})
}
