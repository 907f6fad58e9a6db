package mangocustomer

import (
	"context"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangocall"
)

// starveWait bounds the wait for a profile without slots: a replacement replica usually appears within it, and
// callers learn soon that none did.
const starveWait = 2 * time.Second

// leastShare is the part of a call's estimated service time below which the time left does not suffice. At one half,
// five times as many started calls as at 1 ran into their deadline under twice the bound.
const leastShare = 1.0

// Queue admits calls to profiles, fairly by customer.
type Queue struct {
	mu       sync.Mutex
	lanes    map[string]*lane
	running  int
	queued   int
	virtual  float64
	maxCalls int
	maxQueue int
}

// Option sets a property of a Queue.
type Option func(*Queue)

// WithMaxCalls bounds the running calls of the daemon; the default is 4000.
func WithMaxCalls(n int) Option { return func(q *Queue) { q.maxCalls = n } }

// WithMaxQueue bounds the queued calls of the daemon; the default is 2000.
func WithMaxQueue(n int) Option { return func(q *Queue) { q.maxQueue = n } }

// NewQueue returns a queue without slots.
func NewQueue(opts ...Option) *Queue {
	q := &Queue{lanes: map[string]*lane{}, maxCalls: 4000, maxQueue: 2000}
	for _, o := range opts {
		o(q)
	}
	return q
}

// SetSlots sets the number of calls of a profile that may run at once. Running calls beyond it are not touched.
func (q *Queue) SetSlots(profile string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lane(profile).slots = n
	q.dispatch(time.Now())
}

// SetWeight sets the value of a profile's calls; it counts when the limit on all running calls binds. 0 means 1.
func (q *Queue) SetWeight(profile string, weight uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lane(profile).weight = float64(max(weight, 1))
}

// Remove forgets a profile that left the book; its queued calls are refused.
func (q *Queue) Remove(profile string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lanes[profile]
	if l == nil {
		return
	}
	delete(q.lanes, profile)
	for l.queued > 0 {
		q.drop(l.active[0].calls[0], refuse(mangocall.KindUnknownProfile, 0, "the profile was removed"))
	}
}

func (q *Queue) lane(profile string) *lane {
	l := q.lanes[profile]
	if l == nil {
		l = newLane()
		q.lanes[profile] = l
	}
	return l
}

// Acquire waits for a slot. Release must be called once the call has ended. Errors are of type *mangocall.Error with
// outcome NotRun: the call left the queue under the lock that dispatches.
func (q *Queue) Acquire(ctx context.Context, r Request) (func(), error) {
	now := time.Now()
	w, failed := q.enter(r, now)
	if failed != nil {
		return nil, failed
	}
	if w.ready == nil {
		return q.releaser(w), nil
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
		q.cancel(w, refuse(mangocall.KindCancelled, 0, "the caller went away"))
	case <-expired:
		q.cancel(w, refuse(mangocall.KindDeadline, 0, "the deadline passed in the queue"))
	}
	if w.refused != nil {
		return nil, w.refused
	}
	return q.releaser(w), nil
}

// enter gives the call a slot, which a nil channel shows, or a place in the queue.
func (q *Queue) enter(r Request, now time.Time) (*waiter, *mangocall.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lanes[r.Pool]
	if l == nil {
		return nil, refuse(mangocall.KindNoUpstream, time.Second, "the profile has no capacity here")
	}
	w := &waiter{lane: l, class: r.Class, deadline: r.Deadline, cost: r.Cost, index: -1}
	if w.cost <= 0 {
		w.cost = 1
	}
	if l.queued == 0 && l.running < l.slots && q.running < q.maxCalls {
		q.start(l)
		return w, nil
	}
	weight := float64(max(r.Weight, 1))
	if failed := q.admit(w, r, weight, now); failed != nil {
		return nil, failed
	}
	if l.slots <= 0 && (w.deadline.IsZero() || w.deadline.After(now.Add(starveWait))) {
		w.deadline = now.Add(starveWait)
	}
	if l.queued == 0 {
		l.start = max(l.start, q.virtual)
	}
	w.ready = make(chan struct{})
	l.add(w, r.Customer, weight)
	q.queued++
	return w, nil
}

// admit refuses a call that cannot be finished in time or that the queue has no place for.
func (q *Queue) admit(w *waiter, r Request, weight float64, now time.Time) *mangocall.Error {
	l := w.lane
	wait := l.wait(r.Customer, weight, w.cost, r.Deadline)
	if !r.Deadline.IsZero() && now.Add(wait+l.needs(w)).After(r.Deadline) {
		l.doubt(w)
		return refuse(mangocall.KindOverload, wait, "the estimated wait exceeds the deadline")
	}
	if q.queued < q.maxQueue {
		return nil
	}
	full := refuse(mangocall.KindOverload, wait, "the queue is full")
	own := 1 / weight
	if f := l.flows[r.Customer]; f != nil {
		own = float64(len(f.calls)+1) / weight
	}
	victim := q.longest()
	if victim == nil || own >= float64(len(victim.calls))/victim.weight {
		return full
	}
	q.drop(victim.calls.last(), full)
	return nil
}

// longest returns the flow with the most queued calls for its weight; it gives way when the queue is full, so that one
// customer cannot fill it.
func (q *Queue) longest() *flow {
	var longest *flow
	for _, l := range q.lanes {
		for _, f := range l.active {
			if longest == nil || float64(len(f.calls))/f.weight > float64(len(longest.calls))/longest.weight {
				longest = f
			}
		}
	}
	return longest
}

// drop refuses a queued call.
func (q *Queue) drop(w *waiter, refused *mangocall.Error) {
	w.lane.remove(w)
	q.queued--
	w.refused = refused
	close(w.ready)
}

// cancel takes a call out of the queue or gives back the slot that it got meanwhile; either way it did not run.
func (q *Queue) cancel(w *waiter, refused *mangocall.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		q.drop(w, refused)
		return
	}
	if w.refused != nil {
		return
	}
	w.refused = refused
	w.lane.running--
	q.running--
	q.dispatch(time.Now())
}

func (q *Queue) start(l *lane) {
	l.running++
	q.running++
}

// dispatch gives free slots to the calls that are due.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.maxCalls {
		l := q.due()
		if l == nil {
			return
		}
		w := l.active[0].calls[0]
		if !w.deadline.IsZero() && now.Add(time.Duration(leastShare*float64(l.needs(w)))).After(w.deadline) {
			l.doubt(w)
			q.drop(w, refuse(mangocall.KindDeadline, 0, "the deadline cannot be met any more"))
			continue
		}
		q.virtual = l.start
		l.start += 1 / l.weight
		l.next()
		q.queued--
		q.start(l)
		close(w.ready)
	}
}

// due returns the lane with a free slot and a queued call whose tag is the lowest.
func (q *Queue) due() *lane {
	var due *lane
	for _, l := range q.lanes {
		if l.queued > 0 && l.running < l.slots && (due == nil || l.start < due.start) {
			due = l
		}
	}
	return due
}

func (q *Queue) releaser(w *waiter) func() {
	began := time.Now()
	return sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		now := time.Now()
		w.lane.ended(w, now.Sub(began), !w.deadline.IsZero() && !now.Before(w.deadline))
		q.running--
		q.dispatch(now)
	})
}

// PoolLoad is what the controller sees of a profile.
type PoolLoad struct {
	Slots   int
	Running int
	Queued  int
	// Service is the estimated time of a call.
	ServiceTime time.Duration
}

// Loads returns the present load by profile.
func (q *Queue) Loads() map[string]PoolLoad {
	q.mu.Lock()
	defer q.mu.Unlock()
	loads := make(map[string]PoolLoad, len(q.lanes))
	for name, l := range q.lanes {
		loads[name] = PoolLoad{Slots: l.slots, Running: l.running, Queued: l.queued, ServiceTime: l.service}
	}
	return loads
}
