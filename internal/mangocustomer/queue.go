package mangocustomer

import (
	"context"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangocall"
)

// maxWaitWithoutSlots bounds the wait of calls that arrive while their pool has no slots. A replacement replica usually
// appears within this time, and callers learn soon if none did.
const maxWaitWithoutSlots = 2 * time.Second

// minServiceTimeFraction is the fraction of a call's estimated service time that must be left before its deadline when it
// starts. At 0.5 instead of 1, five times as many started calls missed their deadline at twice the load that can be served.
const minServiceTimeFraction = 1.0

// Queue grants the slots of each pool to calls, fairly among customers by their weights. While the daemon's limit on running
// calls binds, pools share it by their own weights.
type Queue struct {
	mu         sync.Mutex
	poolQueues map[string]*poolQueue
	running    int
	queued     int
	// virtualTime is the start tag of the pool that got a slot from the queue last.
	virtualTime float64
	maxCalls    int
	maxQueued   int
}

// Option sets a property of a Queue.
type Option func(*Queue)

// WithMaxCalls sets the limit on the running calls of the daemon; the default is 4000.
func WithMaxCalls(n int) Option { return func(q *Queue) { q.maxCalls = n } }

// WithMaxQueue sets the limit on the queued calls of the daemon; the default is 2000.
func WithMaxQueue(n int) Option { return func(q *Queue) { q.maxQueued = n } }

// NewQueue returns a queue whose pools have no slots until SetSlots.
func NewQueue(opts ...Option) *Queue {
	q := &Queue{poolQueues: map[string]*poolQueue{}, maxCalls: 4000, maxQueued: 2000}
	for _, o := range opts {
		o(q)
	}
	return q
}

// SetSlots sets the number of calls that may run at once in a pool. Calls already running above it go on.
func (q *Queue) SetSlots(pool string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.poolQueue(pool).slots = n
	q.dispatch(time.Now())
}

// SetWeight sets the share of a pool relative to other pools while the limit on all running calls binds; 0 means 1.
func (q *Queue) SetWeight(pool string, weight uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.poolQueue(pool).weight = float64(max(weight, 1))
}

// Remove deletes a pool that left the configuration; its queued calls are refused.
func (q *Queue) Remove(pool string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.poolQueues[pool]
	if p == nil {
		return
	}
	delete(q.poolQueues, pool)
	for p.queued > 0 {
		q.refuseQueued(p.activeFlows[0].calls[0], newRefusal(mangocall.KindUnknownProfile, 0, "the pool of the profile was removed from the configuration"))
	}
}

// poolQueue returns the queue of a pool and creates it if there is none.
func (q *Queue) poolQueue(pool string) *poolQueue {
	p := q.poolQueues[pool]
	if p == nil {
		p = newPoolQueue()
		q.poolQueues[pool] = p
	}
	return p
}

// Acquire waits for a slot and returns the function that releases it, which must be called once the call has ended. Errors
// are of type *mangocall.Error with outcome NotRun: a refused call leaves the queue under the lock that also dispatches.
func (q *Queue) Acquire(ctx context.Context, r Request) (func(), error) {
	now := time.Now()
	w, refusal := q.startOrEnqueue(r, now)
	if refusal != nil {
		return nil, refusal
	}
	if w.ready == nil {
		return q.releaseFunc(w), nil
	}
	var expired <-chan time.Time
	if !w.deadline.IsZero() {
		timer := time.NewTimer(w.deadline.Sub(now))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.ready:
	case <-ctx.Done():
		q.cancel(w, newRefusal(mangocall.KindCancelled, 0, "the caller cancelled the call before it got a slot"))
	case <-expired:
		q.cancel(w, newRefusal(mangocall.KindDeadline, 0, "the deadline passed before the call got a slot"))
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return q.releaseFunc(w), nil
}

// startOrEnqueue gives the call a slot if one is free and nothing is queued in its pool, and otherwise queues it. The ready
// channel of the waiter is nil if it got a slot.
func (q *Queue) startOrEnqueue(r Request, now time.Time) (*waiter, *mangocall.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.poolQueues[r.Pool]
	if p == nil {
		return nil, newRefusal(mangocall.KindNoUpstream, time.Second, "the pool of the profile is not known to this daemon")
	}
	w := &waiter{poolQueue: p, class: r.Class, deadline: r.Deadline, cost: r.Cost, heapIndex: -1}
	if w.cost <= 0 {
		w.cost = 1
	}
	if p.queued == 0 && p.running < p.slots && q.running < q.maxCalls {
		q.countStarted(p)
		return w, nil
	}
	weight := float64(max(r.Weight, 1))
	if refusal := q.admit(w, r, weight, now); refusal != nil {
		return nil, refusal
	}
	if p.slots <= 0 && (w.deadline.IsZero() || w.deadline.After(now.Add(maxWaitWithoutSlots))) {
		w.deadline = now.Add(maxWaitWithoutSlots)
	}
	if p.queued == 0 {
		p.startTag = max(p.startTag, q.virtualTime)
	}
	w.ready = make(chan struct{})
	p.enqueue(w, r.Customer, weight)
	q.queued++
	return w, nil
}

// admit returns an error if the call cannot end before its deadline or the queue is full. From a full queue, it refuses a
// call of the longest flow instead if the customer of the new call has fewer queued calls for its weight.
func (q *Queue) admit(w *waiter, r Request, weight float64, now time.Time) *mangocall.Error {
	p := w.poolQueue
	wait := p.estimateWait(r.Customer, weight, w.cost, r.Deadline)
	if !r.Deadline.IsZero() && now.Add(wait+p.estimateServiceTime(w)).After(r.Deadline) {
		p.lowerEstimate(w)
		return newRefusal(mangocall.KindOverload, wait, "the estimated wait and service time exceed the deadline")
	}
	if q.queued < q.maxQueued {
		return nil
	}
	full := newRefusal(mangocall.KindOverload, wait, "the queue is full")
	ownLengthByWeight := 1 / weight
	if f := p.flows[r.Customer]; f != nil {
		ownLengthByWeight = float64(len(f.calls)+1) / weight
	}
	victim := q.longestFlow()
	if victim == nil || ownLengthByWeight >= float64(len(victim.calls))/victim.weight {
		return full
	}
	q.refuseQueued(victim.calls.latest(), full)
	return nil
}

// longestFlow returns the flow with the most queued calls for its weight. It loses a call when the queue is full, so that
// one customer cannot fill the queue.
func (q *Queue) longestFlow() *flow {
	var longest *flow
	for _, p := range q.poolQueues {
		for _, f := range p.activeFlows {
			if longest == nil || float64(len(f.calls))/f.weight > float64(len(longest.calls))/longest.weight {
				longest = f
			}
		}
	}
	return longest
}

// refuseQueued takes a call out of the queue and refuses it.
func (q *Queue) refuseQueued(w *waiter, refusal *mangocall.Error) {
	w.poolQueue.remove(w)
	q.queued--
	w.refusal = refusal
	close(w.ready)
}

// cancel refuses a call that no longer waits. It takes the call out of the queue or frees the slot that it got in the
// meantime; in both cases the call did not run.
func (q *Queue) cancel(w *waiter, refusal *mangocall.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.heapIndex >= 0 {
		q.refuseQueued(w, refusal)
		return
	}
	if w.refusal != nil {
		return
	}
	w.refusal = refusal
	w.poolQueue.running--
	q.running--
	q.dispatch(time.Now())
}

// countStarted counts a call of the pool as running.
func (q *Queue) countStarted(p *poolQueue) {
	p.running++
	q.running++
}

// dispatch gives free slots to the next calls and refuses those with too little time left before their deadline.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.maxCalls {
		p := q.nextPoolQueue()
		if p == nil {
			return
		}
		w := p.activeFlows[0].calls[0]
		if !w.deadline.IsZero() && now.Add(time.Duration(minServiceTimeFraction*float64(p.estimateServiceTime(w)))).After(w.deadline) {
			p.lowerEstimate(w)
			q.refuseQueued(w, newRefusal(mangocall.KindDeadline, 0, "the time left before the deadline is shorter than the estimated service time"))
			continue
		}
		q.virtualTime = p.startTag
		p.startTag += 1 / p.weight
		p.dequeue()
		q.queued--
		q.countStarted(p)
		close(w.ready)
	}
}

// nextPoolQueue returns the queue with the lowest start tag among the pools with a free slot and a queued call.
func (q *Queue) nextPoolQueue() *poolQueue {
	var next *poolQueue
	for _, p := range q.poolQueues {
		if p.queued > 0 && p.running < p.slots && (next == nil || p.startTag < next.startTag) {
			next = p
		}
	}
	return next
}

// releaseFunc returns the function that ends a call; only its first call has an effect.
func (q *Queue) releaseFunc(w *waiter) func() {
	startedAt := time.Now()
	return sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		now := time.Now()
		w.poolQueue.recordCompletion(w, now.Sub(startedAt), !w.deadline.IsZero() && !now.Before(w.deadline))
		q.running--
		q.dispatch(now)
	})
}

// PoolLoad is the use of a pool's slots and queue on this daemon.
type PoolLoad struct {
	Slots   int
	Running int
	Queued  int
	// ServiceTime is the mean time of a call.
	ServiceTime time.Duration
}

// Loads returns the current load of each pool.
func (q *Queue) Loads() map[string]PoolLoad {
	q.mu.Lock()
	defer q.mu.Unlock()
	loads := make(map[string]PoolLoad, len(q.poolQueues))
	for pool, p := range q.poolQueues {
		loads[pool] = PoolLoad{Slots: p.slots, Running: p.running, Queued: p.queued, ServiceTime: p.serviceTime}
	}
	return loads
}
