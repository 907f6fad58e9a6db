package mangodelay

import (
	"slices"
	"sync"
	"time"
)

const (
	// smoothingFactor is the weight of a new wait in the moving average.
	smoothingFactor = 0.3
	// meanHalfTime is the time without a new wait after which the mean counts half. The mean has to decay, because a queue
	// that is gone must not cause requests to be rejected.
	meanHalfTime = 250 * time.Millisecond
	// agePercentile is the percentile of the ages of pending requests that counts. It is the median, because the oldest
	// ones alone may be waiting for a lost replica.
	agePercentile = 50
)

// queueKey identifies the queue of a service in a data centre.
type queueKey struct{ service, dataCentre string }

// queue has the recent and the pending waits of one service in one data centre.
type queue struct {
	// meanWait is the moving average of the waits, in nanoseconds, as of updatedAt.
	meanWait  float64
	updatedAt time.Time
	pending   map[*PendingRequest]struct{}
}

// Estimator tracks how long the requests of one daemon wait for their first event. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	queues map[queueKey]*queue
}

// New returns an estimator that has seen no requests.
func New() *Estimator { return &Estimator{queues: map[queueKey]*queue{}} }

// PendingRequest is a request that waits for its first event.
type PendingRequest struct {
	estimator *Estimator
	key       queueKey
	start     time.Time
	// done says that the request has left its queue.
	done bool
}

// Begin records that a request is sent to a data centre.
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

// FirstEvent records the first event of the request; later calls do nothing.
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

// End records that the request no longer waits. Without a preceding FirstEvent its wait does not count.
func (r *PendingRequest) End() {
	r.estimator.mu.Lock()
	defer r.estimator.mu.Unlock()
	if !r.done {
		r.dequeue()
	}
}

// dequeue removes the request from its queue and returns the queue.
func (r *PendingRequest) dequeue() *queue {
	r.done = true
	q := r.estimator.queues[r.key]
	delete(q.pending, r)
	return q
}

// decayedMean returns the mean wait, reduced by the time since its last update: to a half after meanHalfTime, to a fifth
// after twice that, and to 0 after more than eight times.
func (q *queue) decayedMean(now time.Time) float64 {
	idle := now.Sub(q.updatedAt)
	if q.updatedAt.IsZero() || idle > 8*meanHalfTime {
		return 0
	}
	halfTimes := float64(idle) / float64(meanHalfTime)
	return q.meanWait / (1 + halfTimes*halfTimes)
}

// Estimate returns the expected wait for the first event of a request that is sent now; 0 if nothing is known.
func (e *Estimator) Estimate(service, dataCentre string, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.queues[queueKey{service, dataCentre}]
	if q == nil {
		return 0
	}
	return max(time.Duration(q.decayedMean(now)), q.pendingAge(now))
}

// pendingAge returns the median age of the pending requests.
func (q *queue) pendingAge(now time.Time) time.Duration {
	if len(q.pending) < 2 {
		// A single pending request does not show a queue: it may wait for any reason.
		return 0
	}
	ages := make([]time.Duration, 0, len(q.pending))
	for r := range q.pending {
		ages = append(ages, now.Sub(r.start))
	}
	slices.Sort(ages)
	return ages[len(ages)*agePercentile/100]
}
