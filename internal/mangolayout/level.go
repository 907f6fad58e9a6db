package mangolayout

import "slices"

const (
	// lowCapacityShare is the share of the wanted room below which layers of a replica go to others.
	lowCapacityShare = 0.7
	// minLevelGain is the room for requests that has to be gained for layers to move.
	minLevelGain = 10000.0
	// maxReserveLoad is the number of layers that are loaded at most to make a replica free for the next loss.
	maxReserveLoad = 10
)

// allMovable reports whether no replica of the data centre is changing its layers or leaving.
func (p *planner) allMovable() bool {
	return len(p.drainingLayers) == 0 && !slices.ContainsFunc(p.states, func(s ReplicaState) bool { return !s.Movable })
}

// levelCapacity evens out the room of the replicas: the fullest part of a chain decides how many requests the data centre serves.
// Neighbours of a replica that has little room take over some of its layers, which are given up in a later plan, when the
// neighbours hold them.
func (p *planner) levelCapacity() {
	least := p.lowestCapacity()
	if least >= lowCapacityShare*p.targetCapacity {
		return
	}
	settled := slices.DeleteFunc(p.byFirstLayer(), func(i int) bool { return !p.states[i].Movable })
	for room := p.targetCapacity; room >= least+minLevelGain; room -= shiftCapacityStep {
		a, ok := p.arrange(settled, constraints{capacity: room, levelling: true})
		switch {
		case !ok || len(a.layers) == 0:
		case a.layersToLoad() == 0:
			for _, i := range sortedKeys(a.layers) {
				p.assign(i, a.layers[i], ReasonTrim)
			}
			return
		case p.allMovable():
			p.applyArrangement(a, ReasonLevel)
			return
		}
	}
}

// lowestCapacity returns the room of the replica with the least, of those that are needed.
func (p *planner) lowestCapacity() float64 {
	least := p.targetCapacity
	for _, s := range p.states {
		if s.Layers.Len() > 0 && !p.isRedundant(s) {
			least = min(least, p.capacityOf(s))
		}
	}
	return least
}

// ensureReserve lets the neighbours of a small replica take over its layers if no replica holds only layers that others hold
// too. The next loss then costs the time to load some layers, and no replica that serves has to give up any.
func (p *planner) ensureReserve() {
	if !p.allMovable() || slices.ContainsFunc(p.states, p.isRedundant) {
		return
	}
	order := p.byFirstLayer()
	best := arrangement{cost: (maxReserveLoad + 1) * costPerLayer}
	for _, i := range p.smallestMovable(order, maxCandidates) {
		others := slices.DeleteFunc(slices.Clone(order), func(o int) bool { return o == i })
		if a, ok := p.arrange(others, constraints{capacity: p.targetCapacity, growOnly: true}); ok && a.cost < best.cost {
			best = a
		}
	}
	p.applyArrangement(best, ReasonReserve)
}

// capacityOf returns the tokens that a replica has room for beside its layers.
func (p *planner) capacityOf(s ReplicaState) float64 {
	return p.engine.Capacity(s.Replica.Accelerator, s.Layers.Len())
}

// applyArrangement orders the changes of an arrangement.
func (p *planner) applyArrangement(a arrangement, reason Reason) {
	for _, i := range sortedKeys(a.layers) {
		p.assign(i, p.transitionRange(p.states[i], a.layers[i]), reason)
	}
}
