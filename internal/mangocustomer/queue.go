package mangocustomer

import (
	"context"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangocall"
)

// maxWaitWithoutSlots bounds the wait for a profile without slots: a replacement replica usually appears within it, and
// callers learn soon that none did.
const maxWaitWithoutSlots = 2 * time.Second

// minServiceTimeFraction is the part of a call's estimated service time below which the time left does not suffice. At one half,
// five times as many started calls as at 1 ran into their deadline under twice the bound.
const minServiceTimeFraction = 1.0

// Queue admits calls to profiles, fairly by customer.
type Queue struct {
	mu          sync.Mutex
	poolQueues  map[string]*poolQueue
	running     int
	queued      int
	virtualTime float64
	maxCalls    int
	maxQueued   int
}

// Option sets a property of a Queue.
type Option func(*Queue)

// WithMaxCalls bounds the running calls of the daemon; the default is 4000.
func WithMaxCalls(n int) Option { return func(q *Queue) { q.maxCalls = n } }

// WithMaxQueue bounds the queued calls of the daemon; the default is 2000.
func WithMaxQueue(n int) Option { return func(q *Queue) { q.maxQueued = n } }

// NewQueue returns a queue without slots.
func NewQueue(opts ...Option) *Queue {
	q := &Queue{poolQueues: map[string]*poolQueue{}, maxCalls: 4000, maxQueued: 2000}
	for _, o := range opts {
		o(q)
	}
	return q
}

// SetSlots sets the number of calls of a profile that may run at once. Running calls beyond it are not touched.
func (q *Queue) SetSlots(pool string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.poolQueue(pool).slots = n
	q.dispatch(time.Now())
}

// SetWeight sets the value of a profile's calls; it counts when the limit on all running calls binds. 0 means 1.
func (q *Queue) SetWeight(pool string, weight uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.poolQueue(pool).weight = float64(max(weight, 1))
}

// Remove forgets a profile that left the book; its queued calls are refused.
func (q *Queue) Remove(pool string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.poolQueues[pool]
	if p == nil {
		return
	}
	delete(q.poolQueues, pool)
	for p.queued > 0 {
		q.refuseQueued(p.activeFlows[0].calls[0], newRefusal(mangocall.KindUnknownProfile, 0, "the profile was removed"))
	}
}

func (q *Queue) poolQueue(pool string) *poolQueue {
	p := q.poolQueues[pool]
	if p == nil {
		p = newPoolQueue()
		q.poolQueues[pool] = p
	}
	return p
}

// Acquire waits for a slot. Release must be called once the call has ended. Errors are of type *mangocall.Error with
// outcome NotRun: the call left the queue under the lock that dispatches.
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
		q.cancel(w, newRefusal(mangocall.KindCancelled, 0, "the caller went away"))
	case <-expired:
		q.cancel(w, newRefusal(mangocall.KindDeadline, 0, "the deadline passed in the queue"))
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return q.releaseFunc(w), nil
}

// startOrEnqueue gives the call a slot, which a nil channel shows, or a place in the queue.
func (q *Queue) startOrEnqueue(r Request, now time.Time) (*waiter, *mangocall.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.poolQueues[r.Pool]
	if p == nil {
		return nil, newRefusal(mangocall.KindNoUpstream, time.Second, "the profile has no capacity here")
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

// admit refuses a call that cannot be finished in time or that the queue has no place for.
func (q *Queue) admit(w *waiter, r Request, weight float64, now time.Time) *mangocall.Error {
	p := w.poolQueue
	wait := p.estimateWait(r.Customer, weight, w.cost, r.Deadline)
	if !r.Deadline.IsZero() && now.Add(wait+p.estimateServiceTime(w)).After(r.Deadline) {
		p.lowerEstimate(w)
		return newRefusal(mangocall.KindOverload, wait, "the estimated wait exceeds the deadline")
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

// longestFlow returns the flow with the most queued calls for its weight; it gives way when the queue is full, so that one
// customer cannot fill it.
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

// refuseQueued refuses a queued call.
func (q *Queue) refuseQueued(w *waiter, refusal *mangocall.Error) {
	w.poolQueue.remove(w)
	q.queued--
	w.refusal = refusal
	close(w.ready)
}

// cancel takes a call out of the queue or gives back the slot that it got meanwhile; either way it did not run.
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

func (q *Queue) countStarted(p *poolQueue) {
	p.running++
	q.running++
}

// dispatch gives free slots to the calls that are due.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.maxCalls {
		p := q.nextPoolQueue()
		if p == nil {
			return
		}
		w := p.activeFlows[0].calls[0]
		if !w.deadline.IsZero() && now.Add(time.Duration(minServiceTimeFraction*float64(p.estimateServiceTime(w)))).After(w.deadline) {
			p.lowerEstimate(w)
			q.refuseQueued(w, newRefusal(mangocall.KindDeadline, 0, "the deadline cannot be met any more"))
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

// nextPoolQueue returns the lane with a free slot and a queued call whose tag is the lowest.
func (q *Queue) nextPoolQueue() *poolQueue {
	var next *poolQueue
	for _, p := range q.poolQueues {
		if p.queued > 0 && p.running < p.slots && (next == nil || p.startTag < next.startTag) {
			next = p
		}
	}
	return next
}

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

// PoolLoad is what the controller sees of a profile.
type PoolLoad struct {
	Slots   int
	Running int
	Queued  int
	// ServiceTime is the estimated time of a call.
	ServiceTime time.Duration
}

// Loads returns the present load by profile.
func (q *Queue) Loads() map[string]PoolLoad {
	q.mu.Lock()
	defer q.mu.Unlock()
	loads := make(map[string]PoolLoad, len(q.poolQueues))
	for pool, p := range q.poolQueues {
		loads[pool] = PoolLoad{Slots: p.slots, Running: p.running, Queued: p.queued, ServiceTime: p.serviceTime}
	}
	return loads
}
