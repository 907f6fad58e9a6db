package mangolayout

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

func engine() *mangoroute.Engine {
	return &mangoroute.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 590000, StepMS: 0.85, LoadSeconds: 14, MaxParallelLoads: 6,
		Accelerators: map[string]mangoroute.Accelerator{
			"h100": {MemoryMB: 72000, StepFactor: 1.4}, "a100s": {MemoryMB: 36000, StepFactor: 3.1},
			"l4": {MemoryMB: 21600, StepFactor: 16}, "t4": {MemoryMB: 14400, StepFactor: 15},
		},
	}
}

// fleet returns empty replicas of one data centre.
func fleet(kinds map[string]int) []ReplicaState {
	var list []ReplicaState
	for _, k := range []string{"h100", "a100s", "l4", "t4"} {
		for i := range kinds[k] {
			r := &mangoreplica.Replica{ID: fmt.Sprintf("%s-%d", k, i), DataCentre: "a", Accelerator: k}
			list = append(list, ReplicaState{Replica: r, Movable: true})
		}
	}
	return list
}

// sites are the data centres of the users.
func sites() []map[string]int {
	return []map[string]int{
		{"h100": 1, "a100s": 1, "l4": 5, "t4": 7}, {"a100s": 1, "l4": 8, "t4": 3}, {"a100s": 2, "l4": 4, "t4": 7},
	}
}

// carryOut applies moves as if all replicas had loaded their layers.
func carryOut(states []ReplicaState, moves []Move) {
	for _, m := range moves {
		for i := range states {
			if states[i].Replica.ID == m.Replica.ID {
				states[i].Layers = m.Layers
			}
		}
	}
}

func coverOf(states []ReplicaState) (cover []int, least int) {
	p := &planner{engine: engine(), states: states}
	p.count()
	least = len(states)
	for _, n := range p.cover {
		least = min(least, n)
	}
	return p.cover, least
}

func settleAll(states []ReplicaState) int {
	rounds := 0
	for ; rounds < 20; rounds++ {
		moves := Plan(engine(), states)
		if len(moves) == 0 {
			break
		}
		carryOut(states, moves)
	}
	return rounds
}

// Guards against a layout that leaves layers out or orders more than a replica's memory holds.
func TestFirstLayout(t *testing.T) {
	for i, kinds := range sites() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			states := fleet(kinds)
			carryOut(states, Plan(engine(), states))
			_, least := coverOf(states)
			is.True(least >= 1)
			for _, s := range states {
				is.True(engine().TokenCapacity(s.Replica.Accelerator, s.Layers.Len()) > 50000)
			}
		})
	}
}

// Guards against a data centre that stays without a chain after a loss although the others could hold the model, against
// orders beyond a replica's memory, and against plans that never settle. Any number of losses and returns come in turn.
func TestPlanHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := fleet(rapid.SampledFrom(sites()).Draw(t, "site"))
		settleAll(states)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			i := rapid.IntRange(0, len(states)-1).Draw(t, "replica")
			if rapid.Bool().Draw(t, "lost") && len(states) > 3 {
				states = append(states[:i:i], states[i+1:]...)
			} else {
				states[i].Layers = mangoreplica.LayerRange{}
			}
			if rounds := settleAll(states); rounds >= 20 {
				t.Fatalf("the plan does not settle")
			}
			checkHealed(t, states)
		}
	})
}

func checkHealed(t *rapid.T, states []ReplicaState) {
	e := engine()
	total := 0
	for _, s := range states {
		total += e.MaxLayers(s.Replica.Accelerator, leastRoom)
		if s.Layers.Len() > e.MaxLayers(s.Replica.Accelerator, 0) {
			t.Fatalf("%s holds %v, more than its memory", s.Replica.ID, s.Layers)
		}
		if s.Layers.Len() > 0 && (s.Layers.From < 0 || s.Layers.To > e.Layers) {
			t.Fatalf("%s holds %v", s.Replica.ID, s.Layers)
		}
	}
	if _, least := coverOf(states); total >= e.Layers && least < 1 {
		t.Fatalf("%d layers fit and some have no holder", total)
	}
}

// Guards against orders to replicas that are still changing, whose outcome would depend on which order comes last.
func TestUnsettledGetNoOrders(t *testing.T) {
	is := is.New(t)
	states := fleet(sites()[0])
	settleAll(states)
	for i := range states {
		states[i].Movable = i%2 == 0
	}
	states[0].Layers = mangoreplica.LayerRange{}
	for _, m := range Plan(engine(), states) {
		for _, s := range states {
			is.True(s.Replica.ID != m.Replica.ID || s.Movable)
		}
	}
}

// Guards against a gap that is filled by loading everything anew when its neighbours have room.
func TestNeighboursExtend(t *testing.T) {
	is := is.New(t)
	states := fleet(sites()[1])
	settleAll(states)
	var lost int
	for i, s := range states {
		if s.Replica.Accelerator == "l4" && s.Layers.From > 20 && s.Layers.To < 60 {
			lost = i
		}
	}
	states = append(states[:lost:lost], states[lost+1:]...)
	moves := Plan(engine(), states)
	is.True(len(moves) > 0 && len(moves) <= 3)
	loaded := 0
	for _, m := range moves {
		for _, s := range states {
			if s.Replica.ID == m.Replica.ID {
				loaded += m.Layers.Len() - max(0, min(m.Layers.To, s.Layers.To)-max(m.Layers.From, s.Layers.From))
			}
		}
	}
	is.True(loaded <= 16)
}

// Guards against a gap that one large replica fills by loading for many seconds, although small replicas whose layers
// others hold could load its parts at the same time; a data centre was without a chain for four seconds.
func TestGapIsLoadedInParts(t *testing.T) {
	tests := []struct {
		name string
		lost string
		most int
	}{
		{"beside the largest", "a100s-0", 8},
		{"the largest", "h100-0", 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			states := fleet(sites()[0])
			settleAll(states)
			var left []ReplicaState
			for _, s := range states {
				if s.Replica.ID != tt.lost {
					left = append(left, s)
				}
			}
			for _, m := range Plan(engine(), left) {
				for _, s := range left {
					if s.Replica.ID == m.Replica.ID {
						loaded := m.Layers.Len() - max(0, min(m.Layers.To, s.Layers.To)-max(m.Layers.From, s.Layers.From))
						is.True(loaded <= tt.most)
					}
				}
			}
		})
	}
}

// Guards against requests that are cut because a copy takes over the layers of a replica that is leaving and still serves
// them, and against a wait for requests that stall anyway because the holder of the layers is lost.
func TestUrgency(t *testing.T) {
	tests := []struct {
		name    string
		leaving bool
		want    bool
	}{
		{"the holder is lost", false, true},
		{"the holder is leaving", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			states := fleet(sites()[0])
			settleAll(states)
			var left []ReplicaState
			for _, s := range states {
				if s.Replica.ID != "a100s-0" {
					left = append(left, s)
				} else if tt.leaving {
					left = append(left, ReplicaState{Replica: s.Replica, Layers: s.Layers, Draining: true})
				}
			}
			moves := Plan(engine(), left)
			is.True(len(moves) > 0)
			for _, m := range moves {
				is.True(m.Replica.ID != "a100s-0")
				if m.Reason == ReasonGapFromCopy {
					is.Equal(m.Urgent, tt.want)
				}
			}
		})
	}
}
