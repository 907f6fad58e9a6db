package mangoreplica

import "time"

// maxFleetLoadAge is the age above which the load of other daemons is no longer used. It comes several times a second.
const maxFleetLoadAge = 2 * time.Second

// Load is the load that one or several daemons put on a replica.
type Load struct {
	// Requests is the number of requests in flight, and Tokens the sum of their tokens.
	Requests int
	Tokens   float64
	// Later is the part of Requests for which the replica is a later stage of a chain. These take no slot.
	Later int
	// Unknown is the part of Requests that the replica has reported and no daemon is known to have sent, and UnknownTokens the part of
	// Tokens that is estimated for them; only FleetLoad sets these.
	Unknown       int
	UnknownTokens float64
	// Demand is the number of requests a second that could be sent to the replica; 0 unless it names a limit.
	Demand float64
}

// With returns the load with another one added.
func (l Load) With(o Load) Load {
	return Load{
		Requests: l.Requests + o.Requests, Tokens: l.Tokens + o.Tokens, Later: l.Later + o.Later, Unknown: l.Unknown + o.Unknown,
		UnknownTokens: l.UnknownTokens + o.UnknownTokens, Demand: l.Demand + o.Demand,
	}
}

// First returns the number of requests that the replica receives as the first stage, each of which takes a slot.
func (l Load) First() int { return max(l.Requests-l.Later, 0) }

// without returns the load with another one taken away, but nothing below 0.
func (l Load) without(o Load) Load {
	return Load{
		Requests: max(l.Requests-o.Requests, 0), Tokens: max(l.Tokens-o.Tokens, 0), Later: max(l.Later-o.Later, 0), Demand: max(l.Demand-o.Demand, 0),
	}
}

// OwnLoads returns the load that this daemon puts on replicas, by the id of the replica.
func (h *HealthTracker) OwnLoads() map[string]Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := map[string]Load{}
	for id, l := range h.loads {
		if l.requests > 0 {
			own[id] = l.own()
		}
	}
	return own
}

// SetFleetLoad records the load that a number of daemons put on replicas at a time. reported is the part of it that this
// daemon had reported, by which its own load is kept apart.
func (h *HealthTracker) SetFleetLoad(total, reported map[string]Load, daemons int, at time.Time) {
	others := make(map[string]Load, len(total))
	for id, l := range total {
		if rest := l.without(reported[id]); rest.Requests > 0 || rest.Demand > 0 {
			others[id] = rest
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.others, h.othersAt, h.daemons = others, at, daemons
}

// OtherDemand returns the requests a second that the other daemons could send to a replica, as last known, and how old that is.
func (h *HealthTracker) OtherDemand(id string, now time.Time) (perSecond float64, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.others[id].Demand, now.Sub(h.othersAt)
}

// Daemons returns the number of live daemons, as last known; 0 if it never was.
func (h *HealthTracker) Daemons() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemons
}

// FleetLoad returns the load that all daemons put on a replica: that of this daemon now, and that of the others as last
// known. If nothing recent is known of the others, each is assumed to put as much load there as this one. If the replica reports more
// requests than are known, the rest is added with the mean tokens of a request.
func (h *HealthTracker) FleetLoad(id string, now time.Time) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.knownLoad(id, now)
	return known.With(h.unknownLoad(id, known, now))
}

// KnownLoad returns FleetLoad without the requests that only the replica has reported.
func (h *HealthTracker) KnownLoad(id string, now time.Time) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.knownLoad(id, now)
}

// knownLoad returns the load that daemons put on a replica, as far as this one knows.
func (h *HealthTracker) knownLoad(id string, now time.Time) Load {
	var own Load
	if l := h.loads[id]; l != nil {
		own = l.own()
	}
	if now.Sub(h.othersAt) <= maxFleetLoadAge {
		return own.With(h.others[id])
	}
	n := max(h.daemons, 1)
	return Load{Requests: own.Requests * n, Tokens: own.Tokens * float64(n), Later: own.Later * n}
}
