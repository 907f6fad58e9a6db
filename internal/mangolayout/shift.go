package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// capacityPerLayer is the room for requests that is worth the load of one layer.
	capacityPerLayer = 8000.0
	// shiftCapacityStep is the step between tries with less room.
	shiftCapacityStep = 16000.0
	// maxCandidates bounds the replicas that are tried at another place, the smallest first, as each try takes time that
	// grows with the size of the data centre.
	maxCandidates = 12
	// maxReordered bounds the replicas that leave their place in the order of an arrangement.
	maxReordered = 3
)

// shiftRanges closes the gaps that are left by moving the ranges of as few replicas by as few layers as possible. A layout anew
// would take the replicas of a data centre out of service all at once, each for the time that the requests in it last. While
// replicas are changing, only arrangements with the wanted room are taken: they may close the gap, or allow a better one.
func (p *planner) shiftRanges() {
	gaps := p.gaps()
	if len(gaps) == 0 {
		return
	}
	settled := !slices.ContainsFunc(p.states, func(s ReplicaState) bool { return !s.Movable })
	best, score := arrangement{}, infeasible
	for room := p.targetCapacity; room >= min(p.targetCapacity, minCapacity) && (room >= normalCapacity || (settled && score == infeasible)); room -= shiftCapacityStep {
		a, ok := p.cheapestReorder(gaps[0], room)
		if s := a.cost + int((p.targetCapacity-room)/capacityPerLayer*costPerLayer); ok && s < score {
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

// cheapestReorder finds the cheapest arrangement in which the replicas keep their order, but for a few that are placed at a gap.
func (p *planner) cheapestReorder(gap mangoreplica.Range, room float64) (arrangement, bool) {
	order := p.byFirstLayer()
	best, ok := p.arrange(order, constraints{capacity: room})
	if !ok {
		best.cost = infeasible
	}
	for range maxReordered {
		var next []int
		for _, i := range p.smallestMovable(order, maxCandidates) {
			candidate := p.insertAtGap(order, i, gap)
			if a, found := p.arrange(candidate, constraints{capacity: room}); found && a.cost < best.cost {
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

// smallestMovable returns the replicas with the fewest layers that can be given others.
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

// insertAtGap returns an order in which a replica stands before the first one behind a gap.
func (p *planner) insertAtGap(order []int, moved int, gap mangoreplica.Range) []int {
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
