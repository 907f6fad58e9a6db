package mangoreplica

import (
	"maps"
	"sync"
	"time"
)

// Cause names an observation because of which a replica is avoided.
type Cause string

const (
	// CauseUnreachable means that no connection was made in time.
	CauseUnreachable Cause = "Unreachable"
	// CauseReset means that a connection broke.
	CauseReset Cause = "Reset"
	// CauseEnded means that nothing listens at the replica's address, so its process has ended.
	CauseEnded Cause = "Ended"
	// CauseStalled means that another replica waits for this one.
	CauseStalled Cause = "Stalled"
	// CauseSilent means that a request got no answer in time.
	CauseSilent Cause = "Silent"
	// CauseMoved means that another replica answered at the address or that layers were missing.
	CauseMoved Cause = "Moved"
	// CauseLeaving means that the replica says that it takes no new requests.
	CauseLeaving Cause = "Leaving"
	// CauseFaulty means that the replica's answer was a failure or no valid answer.
	CauseFaulty Cause = "Faulty"
)

// LikelyDown reports whether the cause suggests that the replica no longer runs.
func (c Cause) LikelyDown() bool {
	return c == CauseUnreachable || c == CauseReset || c == CauseEnded || c == CauseStalled
}

// CertainToFail reports whether a request through the replica is sure to fail while the cause holds.
func (c Cause) CertainToFail() bool { return c == CauseEnded || c == CauseLeaving }

// Outage is a replica that is avoided until a time.
type Outage struct {
	Replica Incarnation
	Cause   Cause
	At      time.Time
	Until   time.Time
}

// load is what this daemon has in flight on a replica.
type load struct {
	requests int
	// tokens is the sum of the tokens of these requests.
	tokens float64
	// reported is the last load that the replica told, as a share of its slots.
	reported   float64
	reportedAt time.Time
}

// HealthTracker keeps observations about replicas. It is safe for concurrent use.
type HealthTracker struct {
	mu      sync.Mutex
	outages map[Incarnation]Outage
	// refusals has the number of refusals of a replica in a row, counted once in each time of avoidance.
	refusals map[Incarnation]int
	faults   map[Incarnation]faults
	loads    map[string]*load
	paces    map[Incarnation]Pace
	// full has the time until which a replica counts as full, by its id.
	full map[string]time.Time
}

// NewHealthTracker returns a board without observations.
func NewHealthTracker() *HealthTracker {
	return &HealthTracker{
		outages: map[Incarnation]Outage{}, refusals: map[Incarnation]int{}, faults: map[Incarnation]faults{}, loads: map[string]*load{}, full: map[string]time.Time{},
		paces: map[Incarnation]Pace{},
	}
}

// weight orders causes by what they say: a replica is in trouble, is probably lost, or is sure to fail.
func (c Cause) weight() int {
	switch {
	case c.CertainToFail():
		return 2
	case c.LikelyDown():
		return 1
	default:
		return 0
	}
}

// Avoid notes an outage; it reports whether the replica was not avoided before, or for a cause that says less.
func (b *HealthTracker) Avoid(r Incarnation, cause Cause, hold time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, known := b.outages[r]
	fresh := !known || !o.Until.After(now)
	if !fresh && o.Cause.weight() >= cause.weight() && o.Until.After(now.Add(hold)) {
		return false
	}
	b.outages[r] = Outage{Replica: r, Cause: cause, At: now, Until: now.Add(hold)}
	return fresh || cause.weight() > o.Cause.weight()
}

const (
	// refusedHold is the time for which a replica is avoided after the first of several refusals in a row; it doubles with
	// each further one up to refusedMax.
	refusedHold = 400 * time.Millisecond
	refusedMax  = 3200 * time.Millisecond
)

// RecordRefusal notes a refusal without a known reason; it returns the time for which the replica is to be avoided.
func (b *HealthTracker) RecordRefusal(r Incarnation, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.refusals[r]
	if !b.outages[r].Until.After(now) {
		n++
		b.refusals[r] = n
	}
	return min(refusedHold<<max(min(n, 8)-1, 0), refusedMax)
}

// MarkReachable removes an outage of a replica that could not be connected to; it reports whether there was one.
func (b *HealthTracker) MarkReachable(r Incarnation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, ok := b.outages[r]
	if !ok || !o.Until.After(now) {
		return false
	}
	if o.Cause != CauseUnreachable && o.Cause != CauseReset && o.Cause != CauseEnded {
		return false
	}
	delete(b.outages, r)
	return true
}

// ResetRefusals notes that replicas took part in an answer, so that earlier refusals no longer count.
func (b *HealthTracker) ResetRefusals(replicas ...Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range replicas {
		delete(b.refusals, r)
	}
}

// ClearOutage removes the outage of a replica that answered; it reports whether there was one.
func (b *HealthTracker) ClearOutage(r Incarnation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.refusals, r)
	o, ok := b.outages[r]
	delete(b.outages, r)
	return ok && o.Until.After(now)
}

// Avoided reports whether a replica is avoided.
func (b *HealthTracker) Avoided(r Incarnation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outages[r].Until.After(now)
}

// Out reports whether a request through a replica is sure to fail.
func (b *HealthTracker) Out(r Incarnation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.outages[r]
	return o.Until.After(now) && o.Cause.CertainToFail()
}

// Outages returns the outages in force and forgets the others.
func (b *HealthTracker) Outages(now time.Time) map[Incarnation]Outage {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := make(map[Incarnation]Outage, len(b.outages))
	for r, o := range b.outages {
		if !o.Until.After(now) {
			delete(b.outages, r)
			continue
		}
		current[r] = o
	}
	return current
}

// BeginRequest notes a request with a number of tokens on replicas; the returned function ends it.
func (b *HealthTracker) BeginRequest(tokens float64, ids ...string) func() {
	b.add(1, tokens, ids)
	var once sync.Once
	return func() { once.Do(func() { b.add(-1, -tokens, ids) }) }
}

func (b *HealthTracker) add(requests int, tokens float64, ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		l := b.loads[id]
		if l == nil {
			l = &load{}
			b.loads[id] = l
		}
		l.requests += requests
		l.tokens += tokens
		if l.requests <= 0 && l.reportedAt.IsZero() {
			delete(b.loads, id)
		}
	}
}

// RecordLoad notes the load that a replica told with an answer: requests that run or wait, and its slots.
func (b *HealthTracker) RecordLoad(id string, busy, slots int, now time.Time) {
	if slots <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil {
		l = &load{}
		b.loads[id] = l
	}
	l.reported, l.reportedAt = float64(busy)/float64(slots), now
}

// InFlight returns the requests and tokens that this daemon has on a replica.
func (b *HealthTracker) InFlight(id string) (requests int, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[id]; l != nil {
		return l.requests, l.tokens
	}
	return 0, 0
}

// reportMaxAge is the age past which a reported load says nothing about the present one.
const reportMaxAge = 500 * time.Millisecond

// Utilisation returns the share of a replica's slots in use: the reported one while it is fresh, and the own requests at least.
func (b *HealthTracker) Utilisation(id string, slots int, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil {
		return 0
	}
	own := float64(l.requests) / float64(max(slots, 1))
	if now.Sub(l.reportedAt) > reportMaxAge {
		return own
	}
	return max(own, l.reported)
}

// Prune drops what is known of replicas that left the fleet.
func (b *HealthTracker) Prune(fleet *Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.loads {
		if l.requests <= 0 && fleet.ByID(id) == nil {
			delete(b.loads, id)
		}
	}
	maps.DeleteFunc(b.full, func(id string, _ time.Time) bool { return fleet.ByID(id) == nil })
	gone := func(i Incarnation, _ int) bool {
		r := fleet.ByID(i.ID)
		return r == nil || r.Born != i.Born
	}
	maps.DeleteFunc(b.refusals, gone)
	maps.DeleteFunc(b.paces, func(i Incarnation, _ Pace) bool { return gone(i, 0) })
	maps.DeleteFunc(b.faults, func(i Incarnation, _ faults) bool { return gone(i, 0) })
}
