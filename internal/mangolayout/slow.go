package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// planDataCentre plans one data centre. Slow replicas count as draining, so that their layers get other holders, as long as
// empty and redundant replicas suffice for that: moving the layers of replicas that serve well would cost more than it
// gains. If they do not suffice for all slow replicas, the slowest come first.
func planDataCentre(engine *mangoroute.Engine, states []ReplicaState) []Move {
	for n := len(slowHolders(states)); ; n-- {
		p := newPlanner(engine, withSlowestDraining(states, n))
		moves := p.plan()
		if n == 0 || p.coversWithoutShift(moves) {
			return moves
		}
	}
}

// slowHolders returns the indices of the slow replicas that hold layers, the slowest first.
func slowHolders(states []ReplicaState) []int {
	var list []int
	for i, s := range states {
		if s.Slowness >= mangoreplica.SlowThreshold && s.Layers.Len() > 0 && !s.Draining {
			list = append(list, i)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(states[b].Slowness, states[a].Slowness) })
	return list
}

// withSlowestDraining returns the states with the n slowest replicas as draining.
func withSlowestDraining(states []ReplicaState, n int) []ReplicaState {
	changed := slices.Clone(states)
	for _, i := range slowHolders(states)[:n] {
		changed[i].Draining = true
	}
	return changed
}

// coversWithoutShift reports whether all layers have a holder after moves that shift no ranges of replicas that serve well.
func (p *planner) coversWithoutShift(moves []Move) bool {
	if p.holderCounts == nil || len(p.gaps()) > 0 {
		return false
	}
	return !slices.ContainsFunc(moves, func(m Move) bool { return m.Reason == ReasonShift })
}
