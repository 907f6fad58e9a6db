package mangoreplica

import (
	"maps"
	"sync"
	"time"
)

// Cause is the reason for which a replica is avoided, under its name in messages and logs.
type Cause string

const (
	// CauseUnreachable means that connecting to the replica timed out.
	CauseUnreachable Cause = "Unreachable"
	// CauseReset means that a connection to the replica broke.
	CauseReset Cause = "Reset"
	// CauseEnded means that nothing listens at the replica's address, so its process has ended.
	CauseEnded Cause = "Ended"
	// CauseStalled means that another replica of a chain waits for this one.
	CauseStalled Cause = "Stalled"
	// CauseSilent means that the replica did not answer a request in time.
	CauseSilent Cause = "Silent"
	// CauseMoved means that another replica answered at the address, or that the replica no longer holds the layers that it was
	// asked for.
	CauseMoved Cause = "Moved"
	// CauseLeaving means that the replica's health check said that it takes no new requests.
	CauseLeaving Cause = "Leaving"
	// CauseStopping means that the replica said in an answer that it is about to stop, which it does not take back.
	CauseStopping Cause = "Stopping"
	// CauseReachable is no cause of an outage: it ends one of the causes for which a connection is the proof.
	CauseReachable Cause = "Reachable"
	// CauseFaulty means that the replica answered with a failure or with an invalid answer.
	CauseFaulty Cause = "Faulty"
)

// LikelyDown reports whether the cause suggests that the process of the replica no longer runs.
func (c Cause) LikelyDown() bool {
	return c == CauseUnreachable || c == CauseReset || c == CauseEnded || c == CauseStalled
}

// CertainToFail reports whether a request through the replica is sure to fail while the cause holds.
func (c Cause) CertainToFail() bool { return c == CauseEnded || c.Planned() }

// Planned reports whether the replica itself gave the cause, so that its end is no crash.
func (c Cause) Planned() bool { return c == CauseLeaving || c == CauseStopping }

// Outage is a period in which a replica is avoided, from At until Until.
type Outage struct {
	Replica Incarnation
	Cause   Cause
	At      time.Time
	Until   time.Time
	// Checked says that a hub that monitors the replica has found it lost by a check.
	Checked bool
}

// load is the load of a replica: the requests that this daemon has in flight there, and the load that the replica reported.
type load struct {
	requests int
	// later is the part of these requests for which the replica is a later stage.
	later int
	// tokens is the sum of the tokens of these requests.
	tokens float64
	// reported is the last load that the replica reported, and unknown the part of its requests that no daemon was known to have
	// sent then.
	reported   ReportedLoad
	unknown    int
	reportedAt time.Time
	// manyAt is when unknown was last unknownShare of the slots or more.
	manyAt time.Time
}

// own returns the load that this daemon puts on the replica.
func (l *load) own() Load { return Load{Requests: l.requests, Tokens: l.tokens, Later: l.later} }

// HealthTracker records what this daemon and its peers observed of the health and load of replicas. It is safe for
// concurrent use.
type HealthTracker struct {
	mu      sync.Mutex
	outages map[Incarnation]Outage
	// refusals counts the refusals in a row of a replica; those while it is already avoided count as one.
	refusals     map[Incarnation]int
	failureRates map[Incarnation]failureRate
	// loads holds the load of a replica, by its id.
	loads map[string]*load
	paces map[Incarnation]Pace
	// fullUntil holds the time until which a replica counts as full, by its id.
	fullUntil map[string]time.Time
	// leavingSince holds the replicas that said that they are leaving, and pausedUntil those that want no requests for a time.
	leavingSince map[Incarnation]time.Time
	pausedUntil  map[Incarnation]time.Time
	// others is the load that other daemons put on replicas, by the id of the replica, as of othersAt.
	others   map[string]Load
	othersAt time.Time
	// daemons is the number of live daemons; 0 if it is not known.
	daemons int
	// meanTokens is the moving mean of the tokens of requests that began with any; 0 before the first one.
	meanTokens float64
}

// NewHealthTracker returns a tracker without observations.
func NewHealthTracker() *HealthTracker {
	return &HealthTracker{
		outages: map[Incarnation]Outage{}, refusals: map[Incarnation]int{}, failureRates: map[Incarnation]failureRate{}, loads: map[string]*load{}, fullUntil: map[string]time.Time{},
		paces: map[Incarnation]Pace{}, leavingSince: map[Incarnation]time.Time{}, pausedUntil: map[Incarnation]time.Time{},
	}
}

// severity orders causes: 0 for a replica that misbehaves, 1 for one that is probably down, 2 for one that fails every
// request.
func (c Cause) severity() int {
	switch {
	case c.CertainToFail():
		return 2
	case c.LikelyDown():
		return 1
	default:
		return 0
	}
}

// Avoid records that a replica is to be avoided for the time hold. It reports whether that is news: the replica was not
// avoided before, or for a less severe cause.
func (h *HealthTracker) Avoid(r Incarnation, cause Cause, hold time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, known := h.outages[r]
	isNew := !known || !o.Until.After(now)
	if !isNew && o.Cause.severity() >= cause.severity() && o.Until.After(now.Add(hold)) {
		return false
	}
	h.outages[r] = Outage{Replica: r, Cause: cause, At: now, Until: now.Add(hold)}
	return isNew || cause.severity() > o.Cause.severity()
}

const (
	// refusalBackoff is the time for which a replica is avoided after a refusal. It doubles with each further refusal in a row,
	// up to maxRefusalBackoff.
	refusalBackoff    = 400 * time.Millisecond
	maxRefusalBackoff = 3200 * time.Millisecond
)

// RecordRefusal records that a replica refused a request without a known reason, and returns the time for which the replica
// is to be avoided. Refusals while the replica is already avoided do not prolong it.
func (h *HealthTracker) RecordRefusal(r Incarnation, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.refusals[r]
	if !h.outages[r].Until.After(now) {
		n++
		h.refusals[r] = n
	}
	return min(refusalBackoff<<max(min(n, 8)-1, 0), maxRefusalBackoff)
}

// MarkReachable records that a connection to a replica was made, which ends an outage because of failed or broken
// connections. It reports whether there was one.
func (h *HealthTracker) MarkReachable(r Incarnation, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.outages[r]
	if !ok || !o.Until.After(now) {
		return false
	}
	if o.Cause != CauseUnreachable && o.Cause != CauseReset && o.Cause != CauseEnded {
		return false
	}
	delete(h.outages, r)
	return true
}

// ResetRefusals records that replicas took part in an answer, so that their earlier refusals no longer count.
func (h *HealthTracker) ResetRefusals(replicas ...Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range replicas {
		delete(h.refusals, r)
	}
}

// ClearOutage ends the outage of a replica that answered, whatever its cause. It reports whether there was one in force.
func (h *HealthTracker) ClearOutage(r Incarnation, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.refusals, r)
	o, ok := h.outages[r]
	delete(h.outages, r)
	return ok && o.Until.After(now)
}

// Avoided reports whether a replica is to be avoided, for an outage or because it asked for no requests.
func (h *HealthTracker) Avoided(r Incarnation, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outages[r].Until.After(now) || h.isLeaving(r) || h.pausedUntil[r].After(now)
}

// CertainToFail reports whether a replica must not get any request: it is leaving, wants none for a time, or is avoided for a
// cause with which every request through it fails.
func (h *HealthTracker) CertainToFail(r Incarnation, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.outages[r]
	return (o.Until.After(now) && o.Cause.CertainToFail()) || h.isLeaving(r) || h.pausedUntil[r].After(now)
}

// Outages returns the outages in force, with one for each leaving replica, and removes the others.
func (h *HealthTracker) Outages(now time.Time) map[Incarnation]Outage {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := make(map[Incarnation]Outage, len(h.outages))
	for r, o := range h.outages {
		if !o.Until.After(now) {
			delete(h.outages, r)
			continue
		}
		current[r] = o
	}
	for r, since := range h.leavingSince {
		current[r] = Outage{Replica: r, Cause: CauseStopping, At: since, Until: now.Add(leavingMemory)}
	}
	return current
}

// BeginRequest adds a request with a number of tokens to the load of replicas, the first of which receives it. The returned
// function ends the request; calls after the first one have no effect.
func (h *HealthTracker) BeginRequest(tokens float64, ids ...string) func() {
	shares, first := make(map[string]float64, len(ids)), ""
	for i, id := range ids {
		shares[id] = 1
		if i == 0 {
			first = id
		}
	}
	return h.BeginShares(tokens, first, shares)
}

// BeginShares is BeginRequest for a request that takes only a share of its tokens' memory on each replica, since it uses a part
// of the layers there. first is the id of its first stage.
func (h *HealthTracker) BeginShares(tokens float64, first string, shares map[string]float64) func() {
	h.addToLoads(1, tokens, first, shares)
	h.countTokens(tokens)
	var once sync.Once
	return func() { once.Do(func() { h.addToLoads(-1, -tokens, first, shares) }) }
}

// addToLoads changes the requests in flight on replicas, and the tokens by the share of each replica.
func (h *HealthTracker) addToLoads(requests int, tokens float64, first string, shares map[string]float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, share := range shares {
		l := h.loads[id]
		if l == nil {
			l = &load{}
			h.loads[id] = l
		}
		l.requests += requests
		if id != first {
			l.later += requests
		}
		l.tokens += tokens * share
		if l.requests <= 0 && l.reportedAt.IsZero() {
			delete(h.loads, id)
		}
	}
}

// Prune removes what is known of replicas and incarnations that are no longer in the fleet.
func (h *HealthTracker) Prune(fleet *Fleet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pruneNotices(fleet, time.Now())
	for id, l := range h.loads {
		if l.requests <= 0 && fleet.ByID(id) == nil {
			delete(h.loads, id)
		}
	}
	maps.DeleteFunc(h.fullUntil, func(id string, _ time.Time) bool { return fleet.ByID(id) == nil })
	gone := func(i Incarnation, _ int) bool {
		r := fleet.ByID(i.ID)
		return r == nil || r.Born != i.Born
	}
	maps.DeleteFunc(h.refusals, gone)
	maps.DeleteFunc(h.paces, func(i Incarnation, _ Pace) bool { return gone(i, 0) })
	maps.DeleteFunc(h.failureRates, func(i Incarnation, _ failureRate) bool { return gone(i, 0) })
}
