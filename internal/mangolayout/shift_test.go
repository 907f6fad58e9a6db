package mangolayout

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// without returns the states without a replica, or with the replica as draining.
func without(states []ReplicaState, id string, draining bool) []ReplicaState {
	var left []ReplicaState
	for _, s := range states {
		switch {
		case s.Replica.ID != id:
			left = append(left, s)
		case draining:
			left = append(left, ReplicaState{Replica: s.Replica, Layers: s.Layers, Draining: true})
		}
	}
	return left
}

// movesLoad returns the number of layers that moves load, and the replicas that give up layers of which they are the only
// holder.
func movesLoad(states []ReplicaState, moves []Move) (loaded int, releasing []string) {
	counts, _ := holderCountsOf(states)
	for _, m := range moves {
		for _, s := range states {
			if s.Replica.ID != m.Replica.ID {
				continue
			}
			loaded += m.Layers.Len() - max(0, min(m.Layers.To, s.Layers.To)-max(m.Layers.From, s.Layers.From))
			for l := s.Layers.From; l < s.Layers.To; l++ {
				if (l < m.Layers.From || l >= m.Layers.To) && counts[l] < 2 {
					releasing = append(releasing, s.Replica.ID)
					break
				}
			}
		}
	}
	return loaded, releasing
}

// fullLayoutLoads returns the number of layers that a new layout loads, with the replicas in the order of their layers.
func fullLayoutLoads(states []ReplicaState) int {
	p := newPlanner(engine(), states)
	p.chooseCapacity()
	slices.SortStableFunc(p.states, func(a, b ReplicaState) int { return a.Layers.From - b.Layers.From })
	p.layOutAll()
	loaded, _ := movesLoad(states, p.moves)
	return loaded
}

// Guards against a data centre that is out of service for seconds when replicas without copies leave one after the other: a
// new layout made all replicas give up layers at once, each after the requests that passed through it.
func TestShiftLoadsAtMostFullLayout(t *testing.T) {
	for i, kinds := range testDataCentres() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			states := fleet(kinds)
			planUntilStable(states)
			for range 3 {
				// A replica that is the only holder of some layers leaves.
				at := slices.IndexFunc(states, func(s ReplicaState) bool {
					p := newPlanner(engine(), states)
					p.countHolders()
					return s.Replica.Accelerator == "l4" && !p.isRedundant(s)
				})
				is.True(at >= 0)
				before := without(states, states[at].Replica.ID, true)
				moves := Plan(engine(), before)
				loaded, _ := movesLoad(before, moves)
				is.True(loaded > 0 && loaded <= fullLayoutLoads(without(states, states[at].Replica.ID, false)))
				states = without(states, states[at].Replica.ID, false)
				applyMoves(states, moves)
				planUntilStable(states)
				_, lowest := holderCountsOf(states)
				is.True(lowest >= 1)
			}
		})
	}
}

// Guards against arrangements that leave out a layer, hold more than the capacity allows, or cost more than the cheapest
// one in the same order, which is found by trying all ranges.
func TestArrangeIsCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine()
		e.Layers = rapid.IntRange(4, 9).Draw(t, "layers")
		var states []ReplicaState
		for i := range rapid.IntRange(1, 3).Draw(t, "replicas") {
			from := rapid.IntRange(0, e.Layers-1).Draw(t, "from")
			states = append(states, ReplicaState{
				Replica: &mangoreplica.Replica{ID: fmt.Sprint(i), DataCentre: "a", Accelerator: "t4"},
				Layers:  mangoreplica.LayerRange{From: from, To: rapid.IntRange(from+1, min(from+4, e.Layers)).Draw(t, "to")},
				Movable: rapid.Bool().Draw(t, "movable"),
			})
		}
		p := newPlanner(e, states)
		p.targetCapacity = 130000
		p.countHolders()
		constraints := constraints{capacity: 130000, growOnly: rapid.Bool().Draw(t, "grow")}
		order := p.byFirstLayer()
		a, ok := p.arrange(order, constraints)
		want := exhaustiveCost(p, order, 0, constraints)
		if ok != (want < infeasible) {
			t.Fatalf("arrange found an arrangement: %v; the cheapest costs %d", ok, want)
		}
		if !ok {
			return
		}
		counts := make([]int, e.Layers)
		for i, s := range p.states {
			r := s.Layers
			if changed, ok := a.layers[i]; ok {
				r = changed
				if r.Len() > p.maxLayers(s, constraints.capacity) {
					t.Fatalf("%v is more than the capacity allows", r)
				}
			}
			for l := r.From; l < r.To; l++ {
				counts[l]++
			}
		}
		if slices.Contains(counts, 0) || a.cost != want {
			t.Fatalf("layers have %v holders at a cost of %d, the cheapest costs %d", counts, a.cost, want)
		}
	})
}

// exhaustiveCost returns the lowest cost of holding all layers from a point on with replicas in an order, by trying all
// ranges.
func exhaustiveCost(p *planner, order []int, at int, c constraints) int {
	if len(order) == 0 {
		if at < p.engine.Layers {
			return infeasible
		}
		return 0
	}
	s := p.states[order[0]]
	best := exhaustiveCost(p, order[1:], at, c)
	if s.Layers.From <= at && s.Layers.To > at {
		best = min(best, exhaustiveCost(p, order[1:], s.Layers.To, c))
	}
	for from := 0; s.Movable && from <= at; from++ {
		for to := at + 1; to <= min(from+p.maxLayers(s, c.capacity), p.engine.Layers); to++ {
			cost, ok := p.moveCost(s, mangoreplica.LayerRange{From: from, To: to}, c)
			if rest := exhaustiveCost(p, order[1:], to, c); ok && rest < infeasible {
				best = min(best, cost+rest)
			}
		}
	}
	return best
}

// Guards against a loss for which no replica is free to take over the layers, after an earlier loss took the redundant
// ones.
func TestReserveIsRestored(t *testing.T) {
	is := is.New(t)
	states := fleet(testDataCentres()[0])
	planUntilStable(states)
	for _, id := range []string{"l4-0", "l4-1"} {
		states = without(states, id, false)
		planUntilStable(states)
	}
	p := newPlanner(engine(), states)
	p.countHolders()
	at := slices.IndexFunc(states, func(s ReplicaState) bool { return s.Replica.Accelerator == "t4" && !p.isRedundant(s) })
	is.True(at >= 0)
	moves := Plan(engine(), without(states, states[at].Replica.ID, true))
	_, releasing := movesLoad(without(states, states[at].Replica.ID, false), moves)
	is.True(len(moves) > 0)
	is.Equal(len(releasing), 0) // no replica gives up layers of which it is the only holder
}

// Guards against a replica that is left with capacity for a few requests after a loss: it bounds the number of requests
// that the whole data centre serves.
func TestLowCapacityReplicaHandsOverLayers(t *testing.T) {
	for i, kinds := range testDataCentres() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			states := fleet(kinds)
			planUntilStable(states)
			p := newPlanner(engine(), states)
			p.countHolders()
			// One replica takes over most of the layers of the next one beside its own.
			at := slices.IndexFunc(states, func(s ReplicaState) bool {
				return s.Replica.Accelerator == "l4" && s.Layers.From > 20 && !p.isRedundant(s)
			})
			is.True(at >= 0)
			next := slices.IndexFunc(states, func(s ReplicaState) bool { return s.Layers.From == states[at].Layers.To })
			is.True(next >= 0)
			states[at].Layers.To += 3
			states[next].Layers.From += 3
			before := engine().TokenCapacity("l4", states[at].Layers.Len())
			planUntilStable(states)
			is.True(engine().TokenCapacity("l4", states[at].Layers.Len()) > before+minLevelGain)
			_, lowest := holderCountsOf(states)
			is.True(lowest >= 1)
		})
	}
}

// Guards against replicas that give up layers although they have capacity enough: a plan once left several replicas of a
// data centre with one layer each.
func TestTrimOnlyBelowTargetCapacity(t *testing.T) {
	is := is.New(t)
	layers := map[string]mangoreplica.LayerRange{
		"a100s-0": {From: 0, To: 14}, "a100s-1": {From: 13, To: 29}, "l4-0": {From: 28, To: 38}, "l4-1": {From: 33, To: 40},
		"l4-2": {From: 38, To: 47}, "l4-3": {From: 47, To: 54}, "t4-0": {From: 53, To: 59}, "t4-1": {From: 59, To: 64},
		"t4-2": {From: 64, To: 70}, "t4-3": {From: 69, To: 75}, "t4-4": {From: 74, To: 80}, "t4-5": {From: 64, To: 69}, "t4-6": {From: 47, To: 53},
	}
	states := fleet(testDataCentres()[2])
	for i, s := range states {
		states[i].Layers = layers[s.Replica.ID]
	}
	p := newPlanner(engine(), states)
	p.chooseCapacity()
	trimmed := 0
	for range 4 {
		moves := Plan(engine(), states)
		for _, m := range moves {
			if m.Reason != ReasonTrim {
				continue
			}
			trimmed++
			at := slices.IndexFunc(states, func(s ReplicaState) bool { return s.Replica.ID == m.Replica.ID })
			if held := states[at].Layers.Len(); held <= p.engine.MaxLayers(m.Replica.Accelerator, p.targetCapacity) {
				t.Errorf("replica %s has the capacity for its %d layers and is trimmed to %v", m.Replica.ID, held, m.Layers)
			}
		}
		applyMoves(states, moves)
	}
	is.True(trimmed > 0)
}
