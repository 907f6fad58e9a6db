package mangolayout

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// replicaStates returns the replicas that count, with the orders on their way, and the number of these.
func (p *Placer) replicaStates(ctx context.Context, replicas []*mangoreplica.Replica, outages map[mangoreplica.Incarnation]mangoreplica.Outage, now time.Time) ([]ReplicaState, int) {
	var states []ReplicaState
	loading := 0
	for _, r := range replicas {
		i := r.Incarnation()
		o, avoided := outages[i]
		leaving := r.Draining || (avoided && o.Cause == mangoreplica.CauseLeaving)
		if !leaving && avoided && p.isLost(ctx, r, o.Cause, now) {
			continue
		}
		if !p.partitions.canPlan(r.DataCentre, now) {
			continue
		}
		if leaving {
			states = append(states, ReplicaState{Replica: r, Layers: r.Layers, Draining: true})
			continue
		}
		requests, _ := p.board.InFlight(r.ID)
		s := ReplicaState{
			Replica: r, Layers: r.Layers, Movable: true, Requests: requests, Slowness: p.board.Slowness(i, now),
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

// readyToPlan reports whether the replicas of a service can be planned. A fleet that holds nothing is given time to announce
// itself, since a layout of its first half would have to be made again.
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
