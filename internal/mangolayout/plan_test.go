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

// fleet returns replicas of one data centre that hold no layers, by accelerator.
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

// testDataCentres returns the data centres of the users, by the number of replicas with each accelerator.
func testDataCentres() []map[string]int {
	return []map[string]int{
		{"h100": 1, "a100s": 1, "l4": 5, "t4": 7}, {"a100s": 1, "l4": 8, "t4": 3}, {"a100s": 2, "l4": 4, "t4": 7},
	}
}

// applyMoves sets the layers of moves as if all replicas had loaded them.
func applyMoves(states []ReplicaState, moves []Move) {
	for _, m := range moves {
		for i := range states {
			if states[i].Replica.ID == m.Replica.ID {
				states[i].Layers = m.Layers
			}
		}
	}
}

// holderCountsOf returns the number of holders of each layer and the lowest of these numbers.
func holderCountsOf(states []ReplicaState) (counts []int, lowest int) {
	p := &planner{engine: engine(), states: states}
	p.countHolders()
	lowest = len(states)
	for _, n := range p.holderCounts {
		lowest = min(lowest, n)
	}
	return p.holderCounts, lowest
}

// planUntilStable plans and applies moves until a plan has none, at most 20 times, and returns how many plans had moves.
func planUntilStable(states []ReplicaState) int {
	rounds := 0
	for ; rounds < 20; rounds++ {
		moves := Plan(engine(), states)
		if len(moves) == 0 {
			break
		}
		applyMoves(states, moves)
	}
	return rounds
}

// Guards against a layout that leaves out layers or orders more of them than the memory of a replica holds.
func TestFirstLayoutHoldsAllLayersWithinMemory(t *testing.T) {
	for i, kinds := range testDataCentres() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			states := fleet(kinds)
			applyMoves(states, Plan(engine(), states))
			_, lowest := holderCountsOf(states)
			is.True(lowest >= 1)
			for _, s := range states {
				is.True(engine().TokenCapacity(s.Replica.Accelerator, s.Layers.Len()) > 50000)
			}
		})
	}
}

// Guards against a data centre that stays without a chain after losses although the remaining replicas can hold the model,
// against orders beyond the memory of a replica, and against plans that never come to an end. Replicas are lost or come
// back empty in any order.
func TestPlanRestoresAllLayersAfterLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := fleet(rapid.SampledFrom(testDataCentres()).Draw(t, "data centre"))
		planUntilStable(states)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			i := rapid.IntRange(0, len(states)-1).Draw(t, "replica")
			if rapid.Bool().Draw(t, "lost") && len(states) > 3 {
				states = append(states[:i:i], states[i+1:]...)
			} else {
				states[i].Layers = mangoreplica.LayerRange{}
			}
			if rounds := planUntilStable(states); rounds >= 20 {
				t.Fatalf("the plan still has moves after 20 rounds")
			}
			checkCovered(t, states)
		}
	})
}

// checkCovered fails if a replica holds more than fits, or a layer has no holder although all layers fit.
func checkCovered(t *rapid.T, states []ReplicaState) {
	e := engine()
	total := 0
	for _, s := range states {
		total += e.MaxLayers(s.Replica.Accelerator, minCapacity)
		if s.Layers.Len() > e.MaxLayers(s.Replica.Accelerator, 0) {
			t.Fatalf("%s holds %v, more than fits into its memory", s.Replica.ID, s.Layers)
		}
		if s.Layers.Len() > 0 && (s.Layers.From < 0 || s.Layers.To > e.Layers) {
			t.Fatalf("%s holds %v, which is outside the model", s.Replica.ID, s.Layers)
		}
	}
	if _, lowest := holderCountsOf(states); total >= e.Layers && lowest < 1 {
		t.Fatalf("%d layers fit into the replicas, but some layer has no holder", total)
	}
}

// Guards against orders to replicas that are still changing their layers: the result would depend on which order comes
// last.
func TestPendingReplicasGetNoOrders(t *testing.T) {
	is := is.New(t)
	states := fleet(testDataCentres()[0])
	planUntilStable(states)
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

// Guards against a gap that is closed by loading whole new ranges when its neighbours have capacity for it.
func TestNeighboursExtendIntoGap(t *testing.T) {
	is := is.New(t)
	states := fleet(testDataCentres()[1])
	planUntilStable(states)
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

// Guards against a gap that one large replica closes by loading for many seconds, when small redundant replicas could load
// its parts at the same time; a data centre was without a chain for four seconds.
func TestGapIsLoadedInParts(t *testing.T) {
	tests := []struct {
		name string
		lost string
		most int
	}{
		{"the second largest", "a100s-0", 8},
		{"the largest", "h100-0", 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			states := fleet(testDataCentres()[0])
			planUntilStable(states)
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

// Guards against requests that are cut off because a copy urgently takes over the layers of a draining replica that still
// serves them, and against waiting for requests that stall anyway because the holder of the layers is lost.
func TestOnlyMovesForLostLayersAreUrgent(t *testing.T) {
	tests := []struct {
		name     string
		draining bool
		want     bool
	}{
		{"the holder is lost", false, true},
		{"the holder is draining", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			states := fleet(testDataCentres()[0])
			planUntilStable(states)
			var left []ReplicaState
			for _, s := range states {
				if s.Replica.ID != "a100s-0" {
					left = append(left, s)
				} else if tt.draining {
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
