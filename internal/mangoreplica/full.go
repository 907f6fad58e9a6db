package mangoreplica

import "time"

const (
	// minFullTime is the time for which a replica counts as full after it refused a request for lack of capacity. A random
	// part of fullTimeJitter is added, so that the daemons do not all try again at once. Requests end every few
	// milliseconds, but each further refusal costs one of the retries that all daemons share.
	minFullTime    = 150 * time.Millisecond
	fullTimeJitter = 150 * time.Millisecond
)

// MarkFull records that a replica refused a request for lack of capacity. random is in [0, 1) and chooses the part of the
// jitter.
func (h *HealthTracker) MarkFull(id string, random float64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fullUntil[id] = now.Add(minFullTime + time.Duration(random*float64(fullTimeJitter)))
}

// Full reports whether a replica counts as full because it recently refused a request for lack of capacity.
func (h *HealthTracker) Full(id string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fullUntil[id].After(now)
}
