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
	// below the usual use of a data centre, which lasts only until the old layers are trimmed.
	passingRoom = 45000.0
	// roomPerLayer is the room for requests that is worth the load of one layer.
	roomPerLayer = 8000.0
	// shiftRoomStep is the step between tries with less room.
	shiftRoomStep = 16000.0
	// maxCandidates bounds the replicas that are tried at another place, the smallest first, as each try takes time that
	// grows with the size of the data centre.
	maxCandidates = 12
	// maxReordered bounds the replicas that leave their place in the order of an arrangement.
	maxReordered = 3
	// unreachable is above the cost of any arrangement.
	unreachable = 1 << 30
)

// arrangement has the layers of replicas, by their place among the states of a planner, that cover the model.
type arrangement struct {
	layers map[int]mangoreplica.Range
	cost   int
}

// shift closes the gaps that are left by moving the ranges of as few replicas by as few layers as possible. A layout anew
// would take the replicas of a data centre out of service all at once, each for the time that the requests in it last. While
// replicas are changing, only arrangements with the wanted room are taken: they may close the gap, or allow a better one.
func (p *planner) shift() {
	gaps := p.gaps()
	if len(gaps) == 0 {
		return
	}
	settled := !slices.ContainsFunc(p.states, func(s Holding) bool { return !s.Settled })
	best, score := arrangement{}, unreachable
	for room := p.room; room >= min(p.room, leastRoom) && (room >= calmRoom || (settled && score == unreachable)); room -= shiftRoomStep {
		a, ok := p.reorder(gaps[0], room)
		if s := a.cost + int((p.room-room)/roomPerLayer); ok && s < score {
			best, score = a, s
		}
	}
	if score == unreachable {
		return
	}
	first := len(p.moves)
	p.adopt(best, Shift)
	p.hurry(p.moves[first:])
}

// reorder finds the cheapest arrangement in which the replicas keep their order, but for a few that are placed at a gap.
func (p *planner) reorder(gap mangoreplica.Range, room float64) (arrangement, bool) {
	order := p.inOrder()
	best, ok := p.arrange(order, terms{room: room})
	if !ok {
		best.cost = unreachable
	}
	for range maxReordered {
		var next []int
		for _, i := range p.smallest(order, maxCandidates) {
			candidate := p.placedAt(order, i, gap)
			if a, found := p.arrange(candidate, terms{room: room}); found && a.cost < best.cost {
				best, next = a, candidate
			}
		}
		if next == nil {
			break
		}
		order = next
	}
	return best, best.cost < unreachable
}

// smallest returns the replicas with the fewest layers that can be given others.
func (p *planner) smallest(order []int, most int) []int {
	var list []int
	for _, i := range order {
		if p.states[i].Settled {
			list = append(list, i)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(p.states[a].Layers.Len(), p.states[b].Layers.Len()) })
	return list[:min(len(list), most)]
}

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

// placedAt returns an order in which a replica stands before the first one behind a gap.
func (p *planner) placedAt(order []int, moved int, gap mangoreplica.Range) []int {
	placed := make([]int, 0, len(order))
	done := false
	for _, i := range order {
		if i == moved {
			continue
		}
		if !done && p.states[i].Layers.From >= gap.From {
			placed, done = append(placed, moved), true
		}
		placed = append(placed, i)
	}
	if !done {
		placed = append(placed, moved)
	}
	return placed
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
	layers mangoreplica.Range
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
	a := arrangement{layers: map[int]mangoreplica.Range{}, cost: last.cost}
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
func (p *planner) advance(before []step, s Holding, t terms) []step {
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
		if !s.Settled {
			continue
		}
		// A range that begins before the point keeps layers that the replica holds already.
		for from := min(at, max(s.Layers.From, at-size+1, 0)); from <= at; from++ {
			for to := at + 1; to <= min(from+size, p.engine.Layers); to++ {
				r := mangoreplica.Range{From: from, To: to}
				if cost, ok := p.moveCost(s, r, t); ok {
					improve(to, step{cost: b.cost + cost, from: at, layers: r})
				}
			}
		}
	}
	return after
}

// moveCost is the cost of a new range of a replica, in layers to load, if the terms allow it.
func (p *planner) moveCost(s Holding, r mangoreplica.Range, t terms) (int, bool) {
	kept := max(0, min(r.To, s.Layers.To)-max(r.From, s.Layers.From))
	cost := r.Len() - kept
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
		return cost + urgentCost, !t.grow && !t.level
	}
	return cost + giveUpCost, !t.grow && !t.level
}

// beside returns a new range together with the layers that the replica holds already, if both leave room for requests. It
// then serves its old layers until the new ones are loaded, and gives them up when others hold them.
func (p *planner) beside(s Holding, r mangoreplica.Range) mangoreplica.Range {
	if s.Layers.Len() == 0 || r.From > s.Layers.To || s.Layers.From > r.To {
		return r
	}
	both := mangoreplica.Range{From: min(r.From, s.Layers.From), To: max(r.To, s.Layers.To)}
	if both.Len() > max(p.size(s, passingRoom), s.Layers.Len()) {
		return r
	}
	return both
}

func sortedKeys(m map[int]mangoreplica.Range) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
