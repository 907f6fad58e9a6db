package mangoreplica

import "time"

const (
	// MaxSlots bounds the requests and slots that a replica can report.
	MaxSlots = 1 << 20
	// reportedLoadLifetime is the time for which a reported load counts for chains. The requests of a model last about as long.
	reportedLoadLifetime = 2 * time.Second
	// reportedShareLifetime is the time for which a reported load counts for replicas of plain services, whose requests are shorter.
	reportedShareLifetime = 500 * time.Millisecond
	// tokensWeight is the weight of a new request in the mean of tokens.
	tokensWeight = 1.0 / 32
	// unknownShare is the share of a replica's slots from which its unknown requests are logged. The view of the load is up to 1 s old,
	// and the requests that begin in that time take a smaller share.
	unknownShare = 0.2
)

// ReportedLoad is the load that a replica reports of itself: the requests that it runs as the first stage, those that wait there for a
// slot, and its slots. It says nothing if Slots is 0.
type ReportedLoad struct {
	Running, Waiting, Slots int
}

// Requests returns the requests that run or wait.
func (r ReportedLoad) Requests() int { return r.Running + r.Waiting }

// share returns the requests for each slot.
func (r ReportedLoad) share() float64 { return float64(r.Requests()) / float64(max(r.Slots, 1)) }

// RecordLoad records the load that a replica reported. It returns the number of its requests that no daemon is known to have sent. many
// says that these take unknownShare of the slots or more, and that they did not in a report of the last reportedLoadLifetime.
func (h *HealthTracker) RecordLoad(id string, reported ReportedLoad, now time.Time) (unknown int, many bool) {
	if reported.Slots <= 0 {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.loads[id]
	if l == nil {
		l = &load{}
		h.loads[id] = l
	}
	unknown = max(reported.Requests()-h.knownLoad(id, now).First(), 0)
	l.reported, l.unknown, l.reportedAt = reported, unknown, now
	if float64(unknown) < unknownShare*float64(reported.Slots) {
		return unknown, false
	}
	many = now.Sub(l.manyAt) > reportedLoadLifetime
	l.manyAt = now
	return unknown, many
}

// unknownLoad returns the load that a replica has reported beyond the known one. It has at most the requests that were unknown at the
// time of the report: when a known request ends later, the difference grows, but no unknown request began.
func (h *HealthTracker) unknownLoad(id string, known Load, now time.Time) Load {
	l := h.loads[id]
	if l == nil || l.reported.Slots <= 0 || now.Sub(l.reportedAt) > reportedLoadLifetime {
		return Load{}
	}
	requests := min(l.unknown, l.reported.Requests()-known.First())
	if requests <= 0 {
		return Load{}
	}
	mean := h.meanTokens
	if known.Requests > 0 && known.Tokens > 0 {
		here := known.Tokens / float64(known.Requests)
		// A request for which the replica is a later stage can use a part of its layers, and has a part of its tokens there.
		if known.Later == 0 || here > mean {
			mean = here
		}
	}
	tokens := float64(requests) * mean
	return Load{Requests: requests, Tokens: tokens, Unknown: requests, UnknownTokens: tokens}
}

// UnknownRequests returns the number of requests over all replicas that these have reported and no daemon is known to have sent.
func (h *HealthTracker) UnknownRequests(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for id := range h.loads {
		sum += h.unknownLoad(id, h.knownLoad(id, now), now).Requests
	}
	return sum
}

// countTokens adds the tokens of a request to the mean.
func (h *HealthTracker) countTokens(tokens float64) {
	if tokens <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.meanTokens <= 0 {
		h.meanTokens = tokens
	}
	h.meanTokens += tokensWeight * (tokens - h.meanTokens)
}

// Utilisation returns the share of a replica's slots in use: the reported share while it is fresh, but at least the share
// that the requests of all daemons take, as far as they are known.
func (h *HealthTracker) Utilisation(id string, slots int, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	share := float64(h.knownLoad(id, now).Requests) / float64(max(slots, 1))
	if l := h.loads[id]; l != nil && now.Sub(l.reportedAt) <= reportedShareLifetime {
		return max(share, l.reported.share())
	}
	return share
}
