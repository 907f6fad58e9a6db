package mangoreplica

import "time"

const (
	// SlowFrom is the slowness from which a replica is slow: queues grow at it while the others have room.
	SlowThreshold = 2.5
	// paceAge is the time for which a report of a replica's pace counts. Daemons ask slow replicas again within it.
	paceAge = 3 * time.Second
)

// Pace is how slow a replica said that it is.
type Pace struct {
	Replica Incarnation
	// Slowness is the time of its steps in units of the usual one.
	Slowness float64
	At       time.Time
}

// RecordPace notes the pace of a replica; it reports whether the replica became slow or is no longer slow.
func (b *HealthTracker) RecordPace(p Pace) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.paces[p.Replica]
	if known && old.At.After(p.At) {
		return false
	}
	b.paces[p.Replica] = p
	return slow(old.at(p.At)) != slow(p.Slowness)
}

// Slowness returns the time of a replica's steps in units of the usual one; 1 if nothing is known.
func (b *HealthTracker) Slowness(r Incarnation, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paces[r].at(now)
}

// Slow reports whether a replica is slow.
func (b *HealthTracker) Slow(r Incarnation, now time.Time) bool { return slow(b.Slowness(r, now)) }

func slow(slowness float64) bool { return slowness >= SlowThreshold }

func (p Pace) at(now time.Time) float64 {
	if p.At.IsZero() || now.Sub(p.At) > paceAge {
		return 1
	}
	return max(p.Slowness, 1)
}
