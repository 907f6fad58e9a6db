package mangoreplica

import (
	"math"
	"time"
)

const (
	// faultWeight is the part of a new result in the share of failures of a replica.
	faultWeight = 0.2
	// faultHalfLife is the time after which the share counts half, so that a replica that is no longer used gets another
	// try.
	faultHalfLife = 2 * time.Second
)

// faults is the share of failed requests of a replica that otherwise lives.
type faults struct {
	share float64
	at    time.Time
}

func (f faults) now(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.at))/float64(faultHalfLife))
}

// RecordResult notes whether a replica failed a request that it took: it broke off, lost the answer, or answered with a failure.
func (b *HealthTracker) RecordResult(r Incarnation, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, known := b.faults[r]
	if !known && !failed {
		return
	}
	value := 0.0
	if failed {
		value = 1
	}
	share := f.now(now)
	b.faults[r] = faults{share: share + faultWeight*(value-share), at: now}
}

// Faults returns the share of requests that a replica is expected to fail.
func (b *HealthTracker) Faults(r Incarnation, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults[r].now(now)
}
