package mangolayout

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// without returns the states without a replica; if it leaves, it still serves.
func without(states []ReplicaState, id string, leaving bool) []ReplicaState {
	var left []ReplicaState
	for _, s := range states {
		switch {
		case s.Replica.ID != id:
			left = append(left, s)
		case leaving:
			left = append(left, ReplicaState{Replica: s.Replica, Layers: s.Layers, Draining: true})
		}
	}
	return left
}

// loads returns the layers that moves load and the replicas that give up layers which only they hold.
func loads(states []ReplicaState, moves []Move) (loaded int, giving []string) {
	cover, _ := coverOf(states)
	for _, m := range moves {
		for _, s := range states {
			if s.Replica.ID != m.Replica.ID {
				continue
			}
			loaded += m.Layers.Len() - max(0, min(m.Layers.To, s.Layers.To)-max(m.Layers.From, s.Layers.From))
			for l := s.Layers.From; l < s.Layers.To; l++ {
				if (l < m.Layers.From || l >= m.Layers.To) && cover[l] < 2 {
					giving = append(giving, s.Replica.ID)
					break
				}
			}
		}
	}
	return loaded, giving
}

// naiveLoads is the number of layers that a layout anew loads, with the replicas in the order of their layers.
func naiveLoads(states []ReplicaState) int {
	p := newPlanner(engine(), states)
	p.chooseRoom()
	slices.SortStableFunc(p.states, func(a, b ReplicaState) int { return a.Layers.From - b.Layers.From })
	p.layOut()
	loaded, _ := loads(states, p.moves)
	return loaded
}

// Guards against a data centre that goes out of service for seconds when replicas without copies leave one after the other:
// a layout anew made all replicas give up layers at once, each after the requests that passed through it.
func TestShiftMovesLittle(t *testing.T) {
	for i, kinds := range sites() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			states := fleet(kinds)
			settleAll(states)
			for range 3 {
				// A replica whose layers nobody else holds leaves.
				at := slices.IndexFunc(states, func(s ReplicaState) bool {
					p := newPlanner(engine(), states)
					p.count()
					return s.Replica.Accelerator == "l4" && !p.redundant(s)
				})
				is.True(at >= 0)
				before := without(states, states[at].Replica.ID, true)
				moves := Plan(engine(), before)
				loaded, _ := loads(before, moves)
				is.True(loaded > 0 && loaded <= naiveLoads(without(states, states[at].Replica.ID, false)))
				states = without(states, states[at].Replica.ID, false)
				carryOut(states, moves)
				settleAll(states)
				_, least := coverOf(states)
				is.True(least >= 1)
			}
		})
	}
}

// Guards against arrangements that leave out a layer, hold more than the room allows, or cost more than the cheapest one
// that keeps the order, by trying all ranges.
func TestArrangeAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine()
		e.Layers = rapid.IntRange(4, 9).Draw(t, "layers")
		var states []ReplicaState
		for i := range rapid.IntRange(1, 3).Draw(t, "replicas") {
			from := rapid.IntRange(0, e.Layers-1).Draw(t, "from")
			states = append(states, ReplicaState{
				Replica: &mangoreplica.Replica{ID: fmt.Sprint(i), DataCentre: "a", Accelerator: "t4"},
				Layers:  mangoreplica.LayerRange{From: from, To: rapid.IntRange(from+1, min(from+4, e.Layers)).Draw(t, "to")},
				Movable: rapid.Bool().Draw(t, "settled"),
			})
		}
		p := newPlanner(e, states)
		p.room = 130000
		p.count()
		terms := terms{room: 130000, grow: rapid.Bool().Draw(t, "grow")}
		order := p.inOrder()
		a, ok := p.arrange(order, terms)
		want := cheapestByTrial(p, order, 0, terms)
		if ok != (want < unreachable) {
			t.Fatalf("arranged %v, the cheapest costs %d", ok, want)
		}
		if !ok {
			return
		}
		cover := make([]int, e.Layers)
		for i, s := range p.states {
			r := s.Layers
			if changed, ok := a.layers[i]; ok {
				r = changed
				if r.Len() > p.size(s, terms.room) {
					t.Fatalf("%v is more than the room allows", r)
				}
			}
			for l := r.From; l < r.To; l++ {
				cover[l]++
			}
		}
		if slices.Contains(cover, 0) || a.cost != want {
			t.Fatalf("cover %v costs %d, the cheapest %d", cover, a.cost, want)
		}
	})
}

// cheapestByTrial tries all ranges of all replicas in an order, after layers up to a point are covered.
func cheapestByTrial(p *planner, order []int, at int, t terms) int {
	if len(order) == 0 {
		if at < p.engine.Layers {
			return unreachable
		}
		return 0
	}
	s := p.states[order[0]]
	best := cheapestByTrial(p, order[1:], at, t)
	if s.Layers.From <= at && s.Layers.To > at {
		best = min(best, cheapestByTrial(p, order[1:], s.Layers.To, t))
	}
	for from := 0; s.Movable && from <= at; from++ {
		for to := at + 1; to <= min(from+p.size(s, t.room), p.engine.Layers); to++ {
			cost, ok := p.moveCost(s, mangoreplica.LayerRange{From: from, To: to}, t)
			if rest := cheapestByTrial(p, order[1:], to, t); ok && rest < unreachable {
				best = min(best, cost+rest)
			}
		}
	}
	return best
}

// Guards against a loss that finds no replica free to take over the layers after an earlier loss took the copies.
func TestReserveIsRestored(t *testing.T) {
	is := is.New(t)
	states := fleet(sites()[0])
	settleAll(states)
	for _, id := range []string{"l4-0", "l4-1"} {
		states = without(states, id, false)
		settleAll(states)
	}
	p := newPlanner(engine(), states)
	p.count()
	at := slices.IndexFunc(states, func(s ReplicaState) bool { return s.Replica.Accelerator == "t4" && !p.redundant(s) })
	is.True(at >= 0)
	moves := Plan(engine(), without(states, states[at].Replica.ID, true))
	_, giving := loads(without(states, states[at].Replica.ID, false), moves)
	is.True(len(moves) > 0)
	is.Equal(len(giving), 0) // all replicas that serve keep what only they hold
}

// Guards against a replica that is left with the room of a few requests after a loss, which then decides how many requests
// the whole data centre serves.
func TestLevel(t *testing.T) {
	for i, kinds := range sites() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			states := fleet(kinds)
			settleAll(states)
			p := newPlanner(engine(), states)
			p.count()
			// One replica takes over most of another one's layers beside its own.
			at := slices.IndexFunc(states, func(s ReplicaState) bool { return s.Replica.Accelerator == "l4" && s.Layers.From > 20 && !p.redundant(s) })
			is.True(at >= 0)
			next := slices.IndexFunc(states, func(s ReplicaState) bool { return s.Layers.From == states[at].Layers.To })
			is.True(next >= 0)
			states[at].Layers.To += 3
			states[next].Layers.From += 3
			before := engine().TokenCapacity("l4", states[at].Layers.Len())
			settleAll(states)
			is.True(engine().TokenCapacity("l4", states[at].Layers.Len()) > before+levelGain)
			_, least := coverOf(states)
			is.True(least >= 1)
		})
	}
}

// Guards against replicas that give up layers although they have room enough: a plan once left several replicas of a data
// centre with one layer each.
func TestTrimsAreFew(t *testing.T) {
	is := is.New(t)
	layers := map[string]mangoreplica.LayerRange{
		"a100s-0": {From: 0, To: 14}, "a100s-1": {From: 13, To: 29}, "l4-0": {From: 28, To: 38}, "l4-1": {From: 33, To: 40},
		"l4-2": {From: 38, To: 47}, "l4-3": {From: 47, To: 54}, "t4-0": {From: 53, To: 59}, "t4-1": {From: 59, To: 64},
		"t4-2": {From: 64, To: 70}, "t4-3": {From: 69, To: 75}, "t4-4": {From: 74, To: 80}, "t4-5": {From: 64, To: 69}, "t4-6": {From: 47, To: 53},
	}
	states := fleet(sites()[2])
	for i, s := range states {
		states[i].Layers = layers[s.Replica.ID]
	}
	p := newPlanner(engine(), states)
	p.chooseRoom()
	trimmed := 0
	for range 4 {
		moves := Plan(engine(), states)
		for _, m := range moves {
			if m.Reason != ReasonTrim {
				continue
			}
			trimmed++
			at := slices.IndexFunc(states, func(s ReplicaState) bool { return s.Replica.ID == m.Replica.ID })
			if held := states[at].Layers.Len(); held <= p.engine.MaxLayers(m.Replica.Accelerator, p.room) {
				t.Errorf("%s has room for its %d layers and is left with %v", m.Replica.ID, held, m.Layers)
			}
		}
		carryOut(states, moves)
	}
	is.True(trimmed > 0)
}
