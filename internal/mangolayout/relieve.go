package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// planSite plans one data centre. Slow replicas count as leaving, so that their layers get other holders, as far as empty
// replicas and copies suffice for that. To move the layers of replicas that serve well would cost more than it helps; the
// slowest replicas are relieved first.
func planSite(engine *mangoroute.Engine, states []ReplicaState) []Move {
	for n := len(slowest(states)); ; n-- {
		p := newPlanner(engine, relieved(states, n))
		moves := p.plan()
		if n == 0 || p.keepsServing(moves) {
			return moves
		}
	}
}

// slowest returns the places of the slow replicas that hold layers, the slowest first.
func slowest(states []ReplicaState) []int {
	var list []int
	for i, s := range states {
		if s.Slowness >= mangoreplica.SlowThreshold && s.Layers.Len() > 0 && !s.Draining {
			list = append(list, i)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(states[b].Slowness, states[a].Slowness) })
	return list
}

// relieved returns the states with the n slowest replicas leaving.
func relieved(states []ReplicaState, n int) []ReplicaState {
	changed := slices.Clone(states)
	for _, i := range slowest(states)[:n] {
		changed[i].Draining = true
	}
	return changed
}

// keepsServing reports whether all layers have a holder after moves that take none from replicas that serve well.
func (p *planner) keepsServing(moves []Move) bool {
	if p.cover == nil || len(p.gaps()) > 0 {
		return false
	}
	return !slices.ContainsFunc(moves, func(m Move) bool { return m.Reason == ReasonShift })
}
