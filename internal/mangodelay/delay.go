package mangodelay

import (
	"slices"
	"sync"
	"time"
)

const (
	// weight is the part of a new value in the mean of the waits.
	weight = 0.3
	// memory is the time after which the mean counts half, and half again after as long; a queue that is gone must not
	// turn requests away.
	memory = 250 * time.Millisecond
	// agePercent is the share of the requests that wait which are younger than the age that counts. The oldest alone may
	// wait for a lost replica.
	agePercent = 50
)

// place is where a request waits.
type place struct{ service, dataCentre string }

// queue has the waits at one place.
type queue struct {
	mean    float64
	at      time.Time
	waiting map[*PendingRequest]struct{}
}

// Estimator has the waits of one daemon's requests. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	queues map[place]*queue
}

// New returns delays without requests.
func New() *Estimator { return &Estimator{queues: map[place]*queue{}} }

// PendingRequest is a request that waits for its first event.
type PendingRequest struct {
	delays *Estimator
	place  place
	began  time.Time
	done   bool
}

// Begin notes a request that is sent to a data centre.
func (d *Estimator) Begin(service, dataCentre string, now time.Time) *PendingRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &PendingRequest{delays: d, place: place{service, dataCentre}, began: now}
	q := d.queues[s.place]
	if q == nil {
		q = &queue{waiting: map[*PendingRequest]struct{}{}}
		d.queues[s.place] = q
	}
	q.waiting[s] = struct{}{}
	return s
}

// FirstEvent notes the first event of a request; later calls do nothing.
func (s *PendingRequest) FirstEvent(now time.Time) {
	d := s.delays
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.done {
		return
	}
	q := s.leave()
	old := q.faded(now)
	q.mean, q.at = old+weight*(float64(now.Sub(s.began))-old), now
}

// End notes that a request waits no longer, with or without an event.
func (s *PendingRequest) End() {
	s.delays.mu.Lock()
	defer s.delays.mu.Unlock()
	if !s.done {
		s.leave()
	}
}

// leave takes the request out of its queue.
func (s *PendingRequest) leave() *queue {
	s.done = true
	q := s.delays.queues[s.place]
	delete(q.waiting, s)
	return q
}

// faded returns the mean of the waits, which counts less with its age.
func (q *queue) faded(now time.Time) float64 {
	age := now.Sub(q.at)
	if q.at.IsZero() || age > 8*memory {
		return 0
	}
	halvings := float64(age) / float64(memory)
	return q.mean / (1 + halvings*halvings)
}

// Estimate returns the time that a request sent now waits for its first event.
func (d *Estimator) Estimate(service, dataCentre string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[place{service, dataCentre}]
	if q == nil {
		return 0
	}
	return max(time.Duration(q.faded(now)), q.age(now))
}

// age returns the age at the rank that counts of the requests that wait.
func (q *queue) age(now time.Time) time.Duration {
	if len(q.waiting) < 2 {
		// One request may wait for any reason.
		return 0
	}
	ages := make([]time.Duration, 0, len(q.waiting))
	for s := range q.waiting {
		ages = append(ages, now.Sub(s.began))
	}
	slices.Sort(ages)
	return ages[len(ages)*agePercent/100]
}
