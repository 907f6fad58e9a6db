package mangolimit

import (
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// Chance says how likely a replica with a limit is to be allowed to the next request.
type Chance struct {
	Replica   mangoreplica.Incarnation
	PerSecond float64
	// Share is the share of the requests that may be sent to the replica; 0 if this daemon is ahead of its part of the limit.
	Share float64
}

// Preview returns the chances of the next request of a service at the replicas with a limit, and a draw that denies those without
// a chance. Unlike Draw it counts and draws nothing.
func (l *Limiter) Preview(service string, now time.Time) ([]Chance, Draw) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := meter{}
	if known := l.demands[service]; known != nil {
		m = *known
	}
	m.add(now, demandTime)
	own := m.perSecond(now, demandTime)
	var chances []Chance
	draw := Draw{denied: map[mangoreplica.Incarnation]bool{}}
	for _, s := range l.limited(service) {
		// A copy, so that the update has no effect.
		state := *s
		allowed, demand := l.updateAllowance(&state, own, now)
		draw.capacity, draw.demand = draw.capacity+allowed, max(draw.demand, demand)
		c := Chance{Replica: s.Replica, PerSecond: s.PerSecond, Share: min(allowed/demand, 1)}
		if state.aheadOfShare(allowed, now) {
			c.Share, draw.denied[s.Replica] = 0, true
		}
		chances = append(chances, c)
	}
	return chances, draw
}
