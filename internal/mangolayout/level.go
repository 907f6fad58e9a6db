package mangolayout

import "slices"

const (
	// crowded is the share of the wanted room below which layers of a replica go to others.
	crowded = 0.7
	// levelGain is the room for requests that has to be gained for layers to move.
	levelGain = 10000.0
	// reserveLoad is the number of layers that are loaded at most to make a replica free for the next loss.
	reserveLoad = 10
)

// calm reports whether no replica of the data centre is changing its layers or leaving.
func (p *planner) calm() bool {
	return len(p.leaving) == 0 && !slices.ContainsFunc(p.states, func(s ReplicaState) bool { return !s.Movable })
}

// level evens out the room of the replicas: the fullest part of a chain decides how many requests the data centre serves.
// Neighbours of a replica that has little room take over some of its layers, which are given up in a later plan, when the
// neighbours hold them.
func (p *planner) level() {
	least := p.leastRoom()
	if least >= crowded*p.room {
		return
	}
	settled := slices.DeleteFunc(p.inOrder(), func(i int) bool { return !p.states[i].Movable })
	for room := p.room; room >= least+levelGain; room -= shiftRoomStep {
		a, ok := p.arrange(settled, terms{room: room, level: true})
		switch {
		case !ok || len(a.layers) == 0:
		case a.loads() == 0:
			for _, i := range sortedKeys(a.layers) {
				p.take(i, a.layers[i], ReasonTrim)
			}
			return
		case p.calm():
			p.adopt(a, ReasonLevel)
			return
		}
	}
}

// leastRoom returns the room of the replica with the least, of those that are needed.
func (p *planner) leastRoom() float64 {
	least := p.room
	for _, s := range p.states {
		if s.Layers.Len() > 0 && !p.redundant(s) {
			least = min(least, p.roomOf(s))
		}
	}
	return least
}

// keepReserve lets the neighbours of a small replica take over its layers if no replica holds only layers that others hold
// too. The next loss then costs the time to load some layers, and no replica that serves has to give up any.
func (p *planner) keepReserve() {
	if !p.calm() || slices.ContainsFunc(p.states, p.redundant) {
		return
	}
	order := p.inOrder()
	best := arrangement{cost: (reserveLoad + 1) * layerCost}
	for _, i := range p.smallest(order, maxCandidates) {
		others := slices.DeleteFunc(slices.Clone(order), func(o int) bool { return o == i })
		if a, ok := p.arrange(others, terms{room: p.room, grow: true}); ok && a.cost < best.cost {
			best = a
		}
	}
	p.adopt(best, ReasonReserve)
}

// roomOf returns the tokens that a replica has room for beside its layers.
func (p *planner) roomOf(s ReplicaState) float64 {
	return p.engine.TokenCapacity(s.Replica.Accelerator, s.Layers.Len())
}

// adopt orders the changes of an arrangement.
func (p *planner) adopt(a arrangement, reason Reason) {
	for _, i := range sortedKeys(a.layers) {
		p.take(i, p.beside(p.states[i], a.layers[i]), reason)
	}
}
