package mangocall

import (
	"sync"
	"time"
)

const (
	// meanGain and deviationGain are those of TCP's round-trip estimator (RFC 6298).
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// limitFactor allows for a batch that grows between two steps.
	limitFactor = 4
	// maxHosts bounds the estimator's memory; beyond it, the estimates start anew.
	maxHosts = 10_000
)

// stepKind keeps hosts' prefill and decode times apart.
type stepKind struct {
	host    string
	prefill bool
}

type estimate struct{ mean, deviation time.Duration }

// estimator derives deadlines of steps from measured times.
type estimator struct {
	floor, ceiling, prefillCeiling time.Duration

	mu    sync.Mutex
	steps map[stepKind]estimate
}

func newEstimator(o *options) *estimator {
	return &estimator{
		floor: o.floor, ceiling: o.ceiling, prefillCeiling: o.prefillCeiling, steps: map[stepKind]estimate{},
	}
}

func (e *estimator) add(kind stepKind, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.steps[kind]
	if !ok {
		if len(e.steps) >= maxHosts {
			clear(e.steps)
		}
		e.steps[kind] = estimate{mean: took, deviation: took / 2}
		return
	}
	off := took - known.mean
	known.mean += time.Duration(meanGain * float64(off))
	known.deviation += time.Duration(deviationGain * float64(max(off, -off)-known.deviation))
	e.steps[kind] = known
}

// limit returns the time after which a connection without a reply is suspected to hang. Without a measurement it is
// half the ceiling of decode steps, which leaves the other half for a second connection, and the whole for prefills.
func (e *estimator) limit(kind stepKind) time.Duration {
	usual := e.usual(kind)
	if usual == 0 && kind.prefill {
		return min(e.ceiling, e.prefillCeiling)
	}
	if usual == 0 {
		return e.ceiling / 2
	}
	return min(max(usual, e.floor), e.top(kind))
}

// usual returns the time that steps rarely exceed, 0 without a measurement.
func (e *estimator) usual(kind stepKind) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.steps[kind]
	return limitFactor * (known.mean + 4*known.deviation)
}

// top returns the longest limit of a kind of step.
func (e *estimator) top(kind stepKind) time.Duration {
	if kind.prefill {
		return e.prefillCeiling
	}
	return e.ceiling
}
