package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// roomPerLayer is the room for requests that is worth the load of one layer.
	roomPerLayer = 8000.0
	// shiftRoomStep is the step between tries with less room.
	shiftRoomStep = 16000.0
	// maxCandidates bounds the replicas that are tried at another place, the smallest first, as each try takes time that
	// grows with the size of the data centre.
	maxCandidates = 12
	// maxReordered bounds the replicas that leave their place in the order of an arrangement.
	maxReordered = 3
)

// shift closes the gaps that are left by moving the ranges of as few replicas by as few layers as possible. A layout anew
// would take the replicas of a data centre out of service all at once, each for the time that the requests in it last. While
// replicas are changing, only arrangements with the wanted room are taken: they may close the gap, or allow a better one.
func (p *planner) shift() {
	gaps := p.gaps()
	if len(gaps) == 0 {
		return
	}
	settled := !slices.ContainsFunc(p.states, func(s ReplicaState) bool { return !s.Movable })
	best, score := arrangement{}, unreachable
	for room := p.room; room >= min(p.room, leastRoom) && (room >= calmRoom || (settled && score == unreachable)); room -= shiftRoomStep {
		a, ok := p.reorder(gaps[0], room)
		if s := a.cost + int((p.room-room)/roomPerLayer*layerCost); ok && s < score {
			best, score = a, s
		}
	}
	if score == unreachable {
		return
	}
	first := len(p.moves)
	p.adopt(best, ReasonShift)
	p.hurry(p.moves[first:])
}

// reorder finds the cheapest arrangement in which the replicas keep their order, but for a few that are placed at a gap.
func (p *planner) reorder(gap mangoreplica.LayerRange, room float64) (arrangement, bool) {
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
		if p.states[i].Movable {
			list = append(list, i)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(p.states[a].Layers.Len(), p.states[b].Layers.Len()) })
	return list[:min(len(list), most)]
}

// placedAt returns an order in which a replica stands before the first one behind a gap.
func (p *planner) placedAt(order []int, moved int, gap mangoreplica.LayerRange) []int {
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
