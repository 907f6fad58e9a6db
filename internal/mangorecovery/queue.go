package mangorecovery

import (
	"cmp"
	"sync"
)

const (
	// maxPressure is the pressure (memory in use, as a share of the capacity) of a chain up to which a restart is sent. Above it a
	// replica of the chain would refuse the request because its memory is full, which costs a retry.
	maxPressure = 1.0
	// maxPrefilling bounds the concurrent restarts of one daemon for one service that have no event yet. Each prefills all of its
	// tokens on all replicas of its chain, so more of them delay the streams that are nearest to completion.
	maxPrefilling = 8
)

// Stream is a stream that has to restart.
type Stream struct {
	// Service is the service of the stream; those of different services do not wait for each other.
	Service string
	// Started says that its caller has a part of the answer.
	Started bool
	// Remaining is the share of the answer that is still to come, as estimated.
	Remaining float64
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
}

// Compare returns a negative number if the stream restarts before another one: started streams before those without an
// event, then the nearest to completion, then the more urgent.
func (s Stream) Compare(o Stream) int {
	rank := func(started bool) int {
		if started {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(s.Started), rank(o.Started)), cmp.Compare(s.Remaining, o.Remaining), cmp.Compare(s.Priority, o.Priority))
}

// Remaining estimates the share of an answer that is still to come from the number of events so far. expected is the estimated
// number of tokens of the answer; if it is 0 or less, the share is 1.
func Remaining(events int, expected float64) float64 {
	if expected <= 0 {
		return 1
	}
	return max(0, 1-float64(events)*tokensPerEvent/expected)
}

// tokensPerEvent is the assumed number of tokens in an event, the middle of the 2 to 5 that events hold.
const tokensPerEvent = 3.5

// PressureAhead estimates the pressure that restarts of other daemons will add to a chain before a stream restarts, which load
// reports do not include yet. tokens is the number of tokens that all daemons had in use on the lost replica. Streams nearer to
// completion restart first, so the share remaining of these tokens counts as ahead of the stream, spread evenly over the data
// centres. capacity is that of the smallest replica of the chain, in tokens.
func PressureAhead(remaining, tokens float64, dataCentres int, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return remaining * tokens / float64(max(dataCentres, 1)) / capacity
}

// Queue is the priority queue of the restarts of a daemon. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	waiting map[*Turn]struct{}
	// prefilling counts the restarts by service that were sent and have no event yet.
	prefilling map[string]int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{waiting: map[*Turn]struct{}{}, prefilling: map[string]int{}}
}

// Turn is the place of a stream in a queue.
type Turn struct {
	queue  *Queue
	stream Stream
	taken  bool
	ended  bool
}

// Enter adds a stream to the queue.
func (q *Queue) Enter(s Stream) *Turn {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &Turn{queue: q, stream: s}
	q.waiting[t] = struct{}{}
	return t
}

// Take reports whether the stream may restart now along a chain with the given pressure. If so, it no longer waits, and counts as
// prefilling until End.
func (t *Turn) Take(pressure float64) bool {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.taken || t.ended {
		return t.taken
	}
	if pressure > maxPressure || q.prefilling[t.stream.Service] >= maxPrefilling {
		return false
	}
	for o := range q.waiting {
		if o.stream.Service == t.stream.Service && o.stream.Compare(t.stream) < 0 {
			return false
		}
	}
	t.startPrefill()
	return true
}

// Force lets the stream restart regardless of the capacity and of other streams, because its maximum wait is over. It counts as
// prefilling until End.
func (t *Turn) Force() {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	if !t.taken && !t.ended {
		t.startPrefill()
	}
}

// startPrefill moves the stream from those that wait to those that prefill. The caller holds the queue's mutex.
func (t *Turn) startPrefill() {
	delete(t.queue.waiting, t)
	t.taken = true
	t.queue.prefilling[t.stream.Service]++
}

// End takes the stream out of the queue: its first event has come, or it does not restart any more. Calls after the first have
// no effect.
func (t *Turn) End() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(q.waiting, t)
	if !t.taken {
		return
	}
	if q.prefilling[t.stream.Service]--; q.prefilling[t.stream.Service] == 0 {
		delete(q.prefilling, t.stream.Service)
	}
}
