package mangodelay

import (
	"slices"
	"sync"
	"time"
)

const (
	// smoothingFactor is the part of a new value in the mean of the waits.
	smoothingFactor = 0.3
	// meanHalfTime is the time after which the mean counts half, and half again after as long; a queue that is gone must not
	// turn requests away.
	meanHalfTime = 250 * time.Millisecond
	// agePercentile is the share of the requests that wait which are younger than the age that counts. The oldest alone may
	// wait for a lost replica.
	agePercentile = 50
)

// queueKey is where a request waits.
type queueKey struct{ service, dataCentre string }

// queue has the waits at one place.
type queue struct {
	meanWait  float64
	updatedAt time.Time
	pending   map[*PendingRequest]struct{}
}

// Estimator has the waits of one daemon's requests. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	queues map[queueKey]*queue
}

// New returns delays without requests.
func New() *Estimator { return &Estimator{queues: map[queueKey]*queue{}} }

// PendingRequest is a request that waits for its first event.
type PendingRequest struct {
	estimator *Estimator
	key       queueKey
	start     time.Time
	done      bool
}

// Begin notes a request that is sent to a data centre.
func (e *Estimator) Begin(service, dataCentre string, now time.Time) *PendingRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &PendingRequest{estimator: e, key: queueKey{service, dataCentre}, start: now}
	q := e.queues[r.key]
	if q == nil {
		q = &queue{pending: map[*PendingRequest]struct{}{}}
		e.queues[r.key] = q
	}
	q.pending[r] = struct{}{}
	return r
}

// FirstEvent notes the first event of a request; later calls do nothing.
func (r *PendingRequest) FirstEvent(now time.Time) {
	e := r.estimator
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.done {
		return
	}
	q := r.dequeue()
	old := q.decayedMean(now)
	q.meanWait, q.updatedAt = old+smoothingFactor*(float64(now.Sub(r.start))-old), now
}

// End notes that a request waits no longer, with or without an event.
func (r *PendingRequest) End() {
	r.estimator.mu.Lock()
	defer r.estimator.mu.Unlock()
	if !r.done {
		r.dequeue()
	}
}

// dequeue takes the request out of its queue.
func (r *PendingRequest) dequeue() *queue {
	r.done = true
	q := r.estimator.queues[r.key]
	delete(q.pending, r)
	return q
}

// decayedMean returns the mean of the waits, which counts less with its age.
func (q *queue) decayedMean(now time.Time) float64 {
	idle := now.Sub(q.updatedAt)
	if q.updatedAt.IsZero() || idle > 8*meanHalfTime {
		return 0
	}
	halfTimes := float64(idle) / float64(meanHalfTime)
	return q.meanWait / (1 + halfTimes*halfTimes)
}

// Estimate returns the time that a request sent now waits for its first event.
func (e *Estimator) Estimate(service, dataCentre string, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.queues[queueKey{service, dataCentre}]
	if q == nil {
		return 0
	}
	return max(time.Duration(q.decayedMean(now)), q.pendingAge(now))
}

// pendingAge returns the pendingAge at the rank that counts of the requests that wait.
func (q *queue) pendingAge(now time.Time) time.Duration {
	if len(q.pending) < 2 {
		// One request may wait for any reason.
		return 0
	}
	ages := make([]time.Duration, 0, len(q.pending))
	for r := range q.pending {
		ages = append(ages, now.Sub(r.start))
	}
	slices.Sort(ages)
	return ages[len(ages)*agePercentile/100]
}
