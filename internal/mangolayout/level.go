package mangolayout

import "slices"

const (
	// lowCapacityShare is the share of the target capacity below which a replica has little capacity, so that others take
	// over some of its layers.
	lowCapacityShare = 0.7
	// minLevelGain is the capacity, in tokens of requests, that has to be gained for layers to move.
	minLevelGain = 10000.0
	// maxReserveLoad is the largest number of layers that may be loaded to free a replica for the next loss.
	maxReserveLoad = 10
)

// allMovable reports whether no replica of the data centre is draining and all may get orders.
func (p *planner) allMovable() bool {
	return len(p.drainingLayers) == 0 && !slices.ContainsFunc(p.states, func(s ReplicaState) bool { return !s.Movable })
}

// levelCapacity evens out the capacities of the replicas, as the lowest one in a chain bounds the number of requests that
// the data centre serves. Neighbours of a replica with little capacity take over some of its layers, which it gives up in a
// later plan, when the neighbours hold them.
func (p *planner) levelCapacity() {
	lowest := p.lowestCapacity()
	if lowest >= lowCapacityShare*p.targetCapacity {
		return
	}
	movable := slices.DeleteFunc(p.byFirstLayer(), func(i int) bool { return !p.states[i].Movable })
	for capacity := p.targetCapacity; capacity >= lowest+minLevelGain; capacity -= shiftCapacityStep {
		a, ok := p.arrange(movable, constraints{capacity: capacity, levelling: true})
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

// lowestCapacity returns the lowest capacity of the replicas that are not redundant, at most the target capacity.
func (p *planner) lowestCapacity() float64 {
	lowest := p.targetCapacity
	for _, s := range p.states {
		if s.Layers.Len() > 0 && !p.isRedundant(s) {
			lowest = min(lowest, p.capacityOf(s))
		}
	}
	return lowest
}

// ensureReserve lets the neighbours of a small replica copy its layers if no replica is redundant yet. The next loss then
// costs the time to load some layers, and no replica that serves requests has to give up layers.
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

// capacityOf returns the tokens of requests that a replica has capacity for beside its layers.
func (p *planner) capacityOf(s ReplicaState) float64 {
	return p.engine.TokenCapacity(s.Replica.Accelerator, s.Layers.Len())
}

// applyArrangement adds the moves of an arrangement.
func (p *planner) applyArrangement(a arrangement, reason Reason) {
	for _, i := range sortedKeys(a.layers) {
		p.assign(i, p.transitionRange(p.states[i], a.layers[i]), reason)
	}
}
