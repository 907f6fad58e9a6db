package mangodeputy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// Guards against two daemons that place layers for long, against none that does, and against a deputy under a fencing
// number that a replica refused.
func TestElection(t *testing.T) {
	tests := []struct {
		name  string
		rank  int
		apply func(e *election)
		at    int
		in    input
		want  bool
	}{
		{"the store is reached", 0, func(*election) {}, 9000, input{fence: 4}, false},
		{"at once", 0, func(*election) {}, 0, input{alone: true, fence: 4}, false},
		{"after a while", 0, func(*election) {}, 900, input{alone: true, fence: 4}, true},
		{"a later daemon waits longer", 2, func(*election) {}, 900, input{alone: true, fence: 4}, false},
		{"a later daemon", 2, func(*election) {}, 1500, input{alone: true, fence: 4}, true},
		{"no holder is known", 0, func(*election) {}, 9000, input{alone: true}, false},
		{"it holds the lease", 0, func(*election) {}, 0, input{alone: true, holds: true}, true},
		{"another daemon said that it places", 0, func(e *election) { e.hear(claim{name: "z", fence: 4}, at(500)) }, 1000, input{alone: true, fence: 4}, false},
		{"another daemon has fallen silent", 0, func(e *election) { e.hear(claim{name: "z", fence: 4}, at(500)) }, 1500, input{alone: true, fence: 4}, true},
		{"a replica refused the number", 0, func(e *election) { e.renounce(4) }, 9000, input{alone: true, fence: 4}, false},
		{"a later holder was seen", 0, func(e *election) { e.renounce(4) }, 9000, input{alone: true, fence: 5}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := &election{name: "m"}
			start := input{alone: true, fence: tt.in.fence, rank: tt.rank}
			e.step(start, at(0))
			tt.apply(e)
			tt.in.rank = tt.rank
			is.Equal(e.step(tt.in, at(tt.at)), tt.want)
		})
	}
}

// Guards against deputies that both stay or both give way when they hear of each other.
func TestGivingWay(t *testing.T) {
	tests := []struct {
		name string
		c    claim
		want bool
	}{
		{"an earlier name", claim{name: "a", fence: 4}, false},
		{"a later name", claim{name: "z", fence: 4}, true},
		{"a higher number", claim{name: "z", fence: 5}, false},
		{"a lower number", claim{name: "a", fence: 3}, true},
		{"the holder", claim{name: "z", fence: 4, holder: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := &election{name: "m", acting: true, fence: 4, since: at(0)}
			is.Equal(e.hear(tt.c, at(10)), !tt.want)
			is.Equal(e.acting, tt.want)
		})
	}
}

// fleet is daemons that exchange claims with delays while groups of them are cut off from each other and some stop.
type fleet struct {
	elections []*election
	stopped   []bool
	group     []int
	last      []int
	mail      []letter
}

type letter struct {
	at, to int
	claim  claim
}

func (f *fleet) run(t *rapid.T, from, to int, delay *rapid.Generator[int]) {
	for ms := from; ms < to; ms += int(stepInterval / time.Millisecond) {
		for _, l := range f.mail {
			if l.at > ms-100 && l.at <= ms && !f.stopped[l.to] {
				f.elections[l.to].hear(l.claim, at(ms))
			}
		}
		for i, e := range f.elections {
			if f.stopped[i] {
				continue
			}
			if !e.step(input{alone: true, fence: 7, rank: i, daemons: len(f.elections)}, at(ms)) || ms-f.last[i] < 300 {
				continue
			}
			f.last[i] = ms
			for j := range f.elections {
				if j != i && f.group[j] == f.group[i] {
					f.mail = append(f.mail, letter{at: ms + delay.Draw(t, "delay"), to: j, claim: claim{name: e.name, fence: e.fence}})
				}
			}
		}
	}
}

func (f *fleet) acting(group int) int {
	n := 0
	for i, e := range f.elections {
		if f.group[i] == group && !f.stopped[i] && e.acting {
			n++
		}
	}
	return n
}

// Guards against a part of a divided fleet in which nobody places layers, or several daemons do, after deputies stopped.
func TestOneDeputyInEachPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "daemons")
		parts := rapid.IntRange(1, 3).Draw(t, "parts")
		f := &fleet{stopped: make([]bool, n), group: make([]int, n), last: make([]int, n)}
		for i := range n {
			f.elections = append(f.elections, &election{name: fmt.Sprint(i)})
			f.group[i] = rapid.IntRange(0, parts-1).Draw(t, "part")
			f.last[i] = -1000
		}
		delay := rapid.IntRange(0, 100)
		f.run(t, 0, 6000, delay)
		for i := range n {
			f.stopped[i] = rapid.Bool().Draw(t, "stopped")
		}
		f.run(t, 6000, 12000, delay)
		for g := range parts {
			live := 0
			for i := range n {
				if f.group[i] == g && !f.stopped[i] {
					live++
				}
			}
			if got := f.acting(g); got != min(live, 1) {
				t.Fatalf("part %d has %d live daemons and %d deputies", g, live, got)
			}
		}
	})
}
