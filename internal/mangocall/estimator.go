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

// limit returns the deadline of a step; without a measurement it is the ceiling.
func (e *estimator) limit(kind stepKind) time.Duration {
	top := e.top(kind)
	e.mu.Lock()
	known, ok := e.steps[kind]
	e.mu.Unlock()
	if !ok {
		return top
	}
	return min(max(limitFactor*(known.mean+4*known.deviation), e.floor), top)
}

func (e *estimator) top(kind stepKind) time.Duration {
	if kind.prefill {
		return e.prefillCeiling
	}
	return e.ceiling
}
