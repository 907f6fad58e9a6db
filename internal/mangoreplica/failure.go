package mangoreplica

import (
	"math"
	"time"
)

const (
	// failureRateWeight is the weight of a new result in the moving average.
	failureRateWeight = 0.2
	// failureRateHalfLife is the time in which the rate decays by half, so that a replica that is no longer used because of it
	// is tried again.
	failureRateHalfLife = 2 * time.Second
)

// failureRate is the exponential moving average of the share of requests that a running replica failed, at the time of the
// last result.
type failureRate struct {
	share float64
	at    time.Time
}

// decayed returns the share after its decay since the last result.
func (f failureRate) decayed(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.at))/float64(failureRateHalfLife))
}

// RecordResult records whether a replica failed a request that it had accepted: it broke off, lost the answer, or answered
// with a failure.
func (h *HealthTracker) RecordResult(r Incarnation, failed bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, known := h.failureRates[r]
	if !known && !failed {
		return
	}
	value := 0.0
	if failed {
		value = 1
	}
	share := f.decayed(now)
	h.failureRates[r] = failureRate{share: share + failureRateWeight*(value-share), at: now}
}

// FailureRate returns the share of its requests that a replica is expected to fail.
func (h *HealthTracker) FailureRate(r Incarnation, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failureRates[r].decayed(now)
}
