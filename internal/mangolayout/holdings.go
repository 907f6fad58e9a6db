package mangolayout

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// holdings returns the replicas that count, with the orders on their way, and the number of these.
func (p *Placer) holdings(ctx context.Context, replicas []*mangoreplica.Replica, outages map[mangoreplica.Incarnation]mangoreplica.Outage, now time.Time) ([]ReplicaState, int) {
	var states []ReplicaState
	loading := 0
	for _, r := range replicas {
		i := r.Incarnation()
		o, avoided := outages[i]
		leaving := r.Draining || (avoided && o.Cause == mangoreplica.CauseLeaving)
		if !leaving && avoided && p.lost(ctx, r, o.Cause, now) {
			continue
		}
		if !p.clarity.clear(r.DataCentre, now) {
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
		if o, ok := p.pending[i]; ok {
			switch {
			case !now.Before(o.until), !o.blocked && r.Layers == o.layers:
				delete(p.pending, i)
			case o.blocked:
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

// settled reports whether the replicas of a service can be planned. A fleet that holds nothing is given time to announce
// itself, since a layout of its first half would have to be made again.
func (p *Placer) settled(service string, states []ReplicaState, now time.Time) bool {
	for _, s := range states {
		if s.Layers.Len() > 0 {
			delete(p.seen, service)
			return true
		}
	}
	s, ok := p.seen[service]
	if !ok {
		s.from = now
	}
	if len(states) != s.count || !ok {
		s.count, s.since = len(states), now
	}
	p.seen[service] = s
	return len(states) > 0 && (now.Sub(s.since) >= settleQuiet || now.Sub(s.from) >= settleMax)
}
