package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// giveUpCost is the cost of a replica that gives up layers, in layers to load: it takes no new requests in them and
	// waits for those that pass through, which takes about as long as it takes to load this many layers. Urgent orders do
	// not wait; they cost urgentCost, as more replicas that load at the same time are slower.
	giveUpCost = 18
	urgentCost = 2
	// passingRoom is the room for requests that a replica keeps while it holds its old layers beside its new ones. It is
	// below the usual use of a data centre, but lasts only until the old layers are trimmed.
	passingRoom = 45000.0
	// layerCost is the cost of a layer to load; each change costs 1 beside it, so that of equal arrangements the one with the
	// fewest changes is taken.
	layerCost = 1 << 10
	// unreachable is above the cost of any arrangement.
	unreachable = 1 << 30
)

// arrangement has the layers of replicas, by their place among the states of a planner, that cover the model.
type arrangement struct {
	layers map[int]mangoreplica.LayerRange
	cost   int
}

// loads returns the layers to load, with those that stand for waits.
func (a arrangement) loads() int { return a.cost / layerCost }

// inOrder returns the replicas that hold layers by their first layer.
func (p *planner) inOrder() []int {
	var order []int
	for i, s := range p.states {
		if s.Layers.Len() > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.states[a].Layers.From, p.states[b].Layers.From) })
	return order
}

// terms are what an arrangement has to keep to.
type terms struct {
	// room is the number of tokens that replicas with new ranges keep room for.
	room float64
	// grow allows no replica to give up layers.
	grow bool
	// level allows no replica to give up layers before others hold them, and none to keep more layers than leave it the room.
	level bool
}

// step is how the layers below a point are covered by the replicas up to one.
type step struct {
	cost int
	// from is the point that the replicas before it cover up to.
	from int
	// layers is the new range of the replica; empty if it keeps what it has.
	layers mangoreplica.LayerRange
}

// arrange finds the cheapest ranges for replicas in an order, each next to the one before, so that all layers have a holder
// with room for requests. Replicas may be left out, which then keep what they have.
func (p *planner) arrange(order []int, t terms) (arrangement, bool) {
	layers := p.engine.Layers
	steps := make([][]step, len(order)+1)
	steps[0] = newSteps(layers)
	steps[0][0].cost = 0
	for n, i := range order {
		steps[n+1] = p.advance(steps[n], p.states[i], t)
	}
	last := steps[len(order)][layers]
	if last.cost >= unreachable {
		return arrangement{}, false
	}
	a := arrangement{layers: map[int]mangoreplica.LayerRange{}, cost: last.cost}
	for n, at := len(order), layers; n > 0; n-- {
		s := steps[n][at]
		if s.layers.Len() > 0 {
			a.layers[order[n-1]] = s.layers
		}
		at = s.from
	}
	return a, true
}

func newSteps(layers int) []step {
	steps := make([]step, layers+1)
	for i := range steps {
		steps[i].cost = unreachable
	}
	return steps
}

// advance adds one replica to what those before it cover.
func (p *planner) advance(before []step, s ReplicaState, t terms) []step {
	size := p.size(s, t.room)
	after := newSteps(p.engine.Layers)
	improve := func(at int, o step) {
		if o.cost < after[at].cost {
			after[at] = o
		}
	}
	for at, b := range before {
		if b.cost >= unreachable {
			continue
		}
		improve(at, step{cost: b.cost, from: at})
		if s.Layers.From <= at && at < s.Layers.To && (!t.level || s.Layers.Len() <= size) {
			improve(s.Layers.To, step{cost: b.cost, from: at})
		}
		if !s.Movable {
			continue
		}
		// A range that begins before the point keeps layers that the replica holds already.
		for from := min(at, max(s.Layers.From, at-size+1, 0)); from <= at; from++ {
			for to := at + 1; to <= min(from+size, p.engine.Layers); to++ {
				r := mangoreplica.LayerRange{From: from, To: to}
				if cost, ok := p.moveCost(s, r, t); ok {
					improve(to, step{cost: b.cost + cost, from: at, layers: r})
				}
			}
		}
	}
	return after
}

// moveCost is the cost of a new range of a replica, if the terms allow it.
func (p *planner) moveCost(s ReplicaState, r mangoreplica.LayerRange, t terms) (int, bool) {
	kept := max(0, min(r.To, s.Layers.To)-max(r.From, s.Layers.From))
	cost := (r.Len()-kept)*layerCost + 1
	if kept == s.Layers.Len() {
		return cost, true
	}
	if p.redundant(s) {
		return cost, !t.grow
	}
	if p.beside(s, r) != r {
		return cost, !t.grow
	}
	if p.broken {
		return cost + urgentCost*layerCost, !t.grow && !t.level
	}
	return cost + giveUpCost*layerCost, !t.grow && !t.level
}

// beside returns a new range together with the layers that the replica holds already, if both leave room for requests. It
// then serves its old layers until the new ones are loaded, and gives them up when others hold them.
func (p *planner) beside(s ReplicaState, r mangoreplica.LayerRange) mangoreplica.LayerRange {
	if s.Layers.Len() == 0 || r.From > s.Layers.To || s.Layers.From > r.To {
		return r
	}
	both := mangoreplica.LayerRange{From: min(r.From, s.Layers.From), To: max(r.To, s.Layers.To)}
	if both.Len() > max(p.size(s, passingRoom), s.Layers.Len()) {
		return r
	}
	return both
}

func sortedKeys(m map[int]mangoreplica.LayerRange) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
