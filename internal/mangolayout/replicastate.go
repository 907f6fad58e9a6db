package mangolayout

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// replicaStates returns the states of the replicas that a plan may use, and the number of pending orders. Lost replicas, those
// in partitioned data centres and those that claim layers beyond the model are left out.
func (p *Placer) replicaStates(
	ctx context.Context, engine *mangoroute.Engine, replicas []*mangoreplica.Replica,
	outages map[mangoreplica.Incarnation]mangoreplica.Outage, now time.Time,
) ([]ReplicaState, int) {
	var states []ReplicaState
	loading := 0
	for _, r := range replicas {
		i := r.Incarnation()
		o, avoided := outages[i]
		draining := r.Draining || (avoided && o.Cause.Planned())
		if !draining && avoided && p.isLost(ctx, r, o.Cause, now) {
			continue
		}
		if !p.partitions.canPlan(r.DataCentre, now) || r.Layers.To > engine.Layers {
			continue
		}
		if draining {
			states = append(states, ReplicaState{Replica: r, Layers: r.Layers, Draining: true})
			continue
		}
		s := ReplicaState{
			Replica: r, Layers: r.Layers, Movable: !p.health.Paused(i, now), Requests: p.health.FleetLoad(r.ID, now).Requests, Slowness: p.health.Slowness(i, now),
		}
		if o, ok := p.pendingOrders[i]; ok {
			switch {
			case !now.Before(o.until), !o.paused && r.Layers == o.layers:
				delete(p.pendingOrders, i)
			case o.paused:
				s.Movable = false
			default:
				s.Layers, s.Movable = o.layers, false
				loading++
			}
		}
		states = append(states, s)
	}
	return states, loading
}

// readyToPlan reports whether the replicas of a service can be planned. Replicas without any layers are given time to
// announce themselves, since a layout for the first half of them would have to be replaced.
func (p *Placer) readyToPlan(service string, states []ReplicaState, now time.Time) bool {
	for _, s := range states {
		if s.Layers.Len() > 0 {
			delete(p.startups, service)
			return true
		}
	}
	s, ok := p.startups[service]
	if !ok {
		s.firstSeen = now
	}
	if len(states) != s.replicas || !ok {
		s.replicas, s.unchangedSince = len(states), now
	}
	p.startups[service] = s
	return len(states) > 0 && (now.Sub(s.unchangedSince) >= startupQuiet || now.Sub(s.firstSeen) >= maxStartupWait)
}
