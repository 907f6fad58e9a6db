package mangoreplica

import (
	"math"
	"time"
)

const (
	// SlowThreshold is the slowness from which a replica counts as slow: its queue grows while the other replicas have
	// capacity.
	SlowThreshold = 2.5
	// maxPaceAge is the time for which the reported pace of a replica counts. Daemons ask slow replicas again within it.
	maxPaceAge = 3 * time.Second
	// maxSlowness bounds the slowness that a replica can report, so that costs stay finite.
	maxSlowness = 1000
)

// Pace is the speed at which a replica reported to run.
type Pace struct {
	Replica Incarnation
	// Slowness is the ratio of the replica's step time to the usual step time.
	Slowness float64
	At       time.Time
}

// RecordPace records the pace of a replica, unless a later one is known. It reports whether the replica became slow or is no
// longer slow.
func (h *HealthTracker) RecordPace(p Pace) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, known := h.paces[p.Replica]
	if known && old.At.After(p.At) {
		return false
	}
	if math.IsNaN(p.Slowness) {
		return false
	}
	p.Slowness = min(p.Slowness, maxSlowness)
	h.paces[p.Replica] = p
	return isSlow(old.slownessAt(p.At)) != isSlow(p.Slowness)
}

// Slowness returns the ratio of a replica's step time to the usual one. It is at least 1, and 1 if nothing recent is known.
func (h *HealthTracker) Slowness(r Incarnation, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paces[r].slownessAt(now)
}

// Slow reports whether the slowness of a replica is at or above SlowThreshold.
func (h *HealthTracker) Slow(r Incarnation, now time.Time) bool { return isSlow(h.Slowness(r, now)) }

func isSlow(slowness float64) bool { return slowness >= SlowThreshold }

// slownessAt returns the slowness at a time: 1 if the pace is too old, and never less than 1.
func (p Pace) slownessAt(now time.Time) float64 {
	if p.At.IsZero() || now.Sub(p.At) > maxPaceAge {
		return 1
	}
	return max(p.Slowness, 1)
}
