package mangoreplica

import "time"

// Condition is all that keeps requests from a replica or makes it more expensive.
type Condition struct {
	// Outage is in force if Outage.Until is not zero.
	Outage  Outage
	Leaving bool
	// PausedUntil is zero if the replica is not paused, and FullUntil is zero if it does not count as full.
	PausedUntil time.Time
	FullUntil   time.Time
	Slowness    float64
	FailureRate float64
}

// Condition returns the condition of a replica at a time. It changes nothing.
func (h *HealthTracker) Condition(r Incarnation, now time.Time) Condition {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := Condition{Leaving: h.isLeaving(r), Slowness: h.paces[r].slownessAt(now), FailureRate: h.failureRates[r].decayed(now)}
	if o := h.outages[r]; o.Until.After(now) {
		c.Outage = o
	}
	if until := h.pausedUntil[r]; until.After(now) {
		c.PausedUntil = until
	}
	if until := h.fullUntil[r.ID]; until.After(now) {
		c.FullUntil = until
	}
	return c
}
