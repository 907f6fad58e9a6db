package mangocall

import (
	"sync"
	"time"
)

const (
	// meanGain and deviationGain are the smoothing factors of TCP's round-trip estimator (RFC 6298).
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// timeoutFactor leaves room for a batch that grows between two steps.
	timeoutFactor = 4
	// maxEstimates limits the memory of the estimator. When it is reached, all estimates are dropped.
	maxEstimates = 10_000
)

// stepClass identifies the steps whose durations are estimated together: the prefills or the decode steps on a host.
type stepClass struct {
	host    string
	prefill bool
}

// durationEstimate is the smoothed mean of durations and of their absolute deviations from it.
type durationEstimate struct{ mean, deviation time.Duration }

// timeoutEstimator derives the timeouts of steps from the measured durations of earlier ones.
type timeoutEstimator struct {
	minTimeout, maxTimeout, maxPrefillTimeout time.Duration

	mu        sync.Mutex
	estimates map[stepClass]durationEstimate
}

func newTimeoutEstimator(o *options) *timeoutEstimator {
	return &timeoutEstimator{
		minTimeout: o.minTimeout, maxTimeout: o.maxTimeout, maxPrefillTimeout: o.maxPrefillTimeout, estimates: map[stepClass]durationEstimate{},
	}
}

// add updates the estimate of a class of steps with a measured duration.
func (e *timeoutEstimator) add(class stepClass, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate, ok := e.estimates[class]
	if !ok {
		if len(e.estimates) >= maxEstimates {
			clear(e.estimates)
		}
		e.estimates[class] = durationEstimate{mean: duration, deviation: duration / 2}
		return
	}
	diff := duration - estimate.mean
	estimate.mean += time.Duration(meanGain * float64(diff))
	estimate.deviation += time.Duration(deviationGain * float64(max(diff, -diff)-estimate.deviation))
	e.estimates[class] = estimate
}

// timeout returns the time without a reply after which the connection is assumed to hang. Without a measurement it is half
// of maxTimeout for decode steps, which leaves the other half for a second connection, and all of it for prefills.
func (e *timeoutEstimator) timeout(class stepClass) time.Duration {
	expected := e.expectedMax(class)
	if expected == 0 && class.prefill {
		return min(e.maxTimeout, e.maxPrefillTimeout)
	}
	if expected == 0 {
		return e.maxTimeout / 2
	}
	return min(max(expected, e.minTimeout), e.longestTimeout(class))
}

// expectedMax returns the duration that steps of the class rarely exceed, or 0 without a measurement.
func (e *timeoutEstimator) expectedMax(class stepClass) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate := e.estimates[class]
	return timeoutFactor * (estimate.mean + 4*estimate.deviation)
}

// longestTimeout returns the upper limit of the timeouts of a class.
func (e *timeoutEstimator) longestTimeout(class stepClass) time.Duration {
	if class.prefill {
		return e.maxPrefillTimeout
	}
	return e.maxTimeout
}
