package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// capacityPerLayer is the gain in capacity, in tokens of requests, that is worth the loading of one more layer.
	capacityPerLayer = 8000.0
	// shiftCapacityStep is the step by which the capacity is lowered between attempts.
	shiftCapacityStep = 16000.0
	// maxCandidates bounds the replicas that are tried at another place in the order, smallest first, as the time of each
	// attempt grows with the size of the data centre.
	maxCandidates = 12
	// maxReordered bounds the replicas that change their place in the order of an arrangement.
	maxReordered = 3
)

// shiftRanges closes the remaining gaps by moving the ranges of as few replicas by as few layers as possible. A new layout
// would take all replicas of the data centre out of service at once, each until the requests in it have ended. While some
// replicas may not get orders, no capacity below normalCapacity is tried: their pending orders may close the gap, or allow
// a better arrangement.
func (p *planner) shiftRanges() {
	gaps := p.gaps()
	if len(gaps) == 0 {
		return
	}
	allMovable := !slices.ContainsFunc(p.states, func(s ReplicaState) bool { return !s.Movable })
	best, score := arrangement{}, infeasible
	for capacity := p.targetCapacity; capacity >= min(p.targetCapacity, minCapacity) && (capacity >= normalCapacity || (allMovable && score == infeasible)); capacity -= shiftCapacityStep {
		a, ok := p.cheapestReorder(gaps[0], capacity)
		if s := a.cost + int((p.targetCapacity-capacity)/capacityPerLayer*costPerLayer); ok && s < score {
			best, score = a, s
		}
	}
	if score == infeasible {
		return
	}
	first := len(p.moves)
	p.applyArrangement(best, ReasonShift)
	p.markUrgent(p.moves[first:])
}

// cheapestReorder finds the cheapest arrangement in which the replicas keep their order, except for a few that are placed
// at a gap.
func (p *planner) cheapestReorder(gap mangoreplica.LayerRange, capacity float64) (arrangement, bool) {
	order := p.byFirstLayer()
	best, ok := p.arrange(order, constraints{capacity: capacity})
	if !ok {
		best.cost = infeasible
	}
	for range maxReordered {
		var next []int
		for _, i := range p.smallestMovable(order, maxCandidates) {
			candidate := p.insertAtGap(order, i, gap)
			if a, found := p.arrange(candidate, constraints{capacity: capacity}); found && a.cost < best.cost {
				best, next = a, candidate
			}
		}
		if next == nil {
			break
		}
		order = next
	}
	return best, best.cost < infeasible
}

// smallestMovable returns up to a number of movable replicas, those with the fewest layers first.
func (p *planner) smallestMovable(order []int, most int) []int {
	var list []int
	for _, i := range order {
		if p.states[i].Movable {
			list = append(list, i)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(p.states[a].Layers.Len(), p.states[b].Layers.Len()) })
	return list[:min(len(list), most)]
}

// insertAtGap returns an order in which a replica stands before the first one whose layers start behind a gap.
func (p *planner) insertAtGap(order []int, moved int, gap mangoreplica.LayerRange) []int {
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
