package mangoreplica

import "time"

const (
	// fullHold is the time for which a replica that refused a request for want of room counts as full, and fullSpread the
	// random part of it, so that daemons do not try again all at once. Requests end every few milliseconds, but each try
	// that is refused costs one of the retries that all daemons share.
	fullHold   = 150 * time.Millisecond
	fullSpread = 150 * time.Millisecond
)

// MarkFull notes that a replica refused a request for want of room; random is in [0, 1).
func (b *HealthTracker) MarkFull(id string, random float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.full[id] = now.Add(fullHold + time.Duration(random*float64(fullSpread)))
}

// Full reports whether a replica refused a request for want of room a moment ago.
func (b *HealthTracker) Full(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.full[id].After(now)
}
