package mangocustomer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceQueue is a model of the queue: start-time fair queueing by scanning one list of calls. It drops the start tags of
// customers only when nothing is queued.
type referenceQueue struct {
	slots, running int
	virtualTime    float64
	startTags      map[string]float64
	queued         []*referenceCall
}

type referenceCall struct {
	id       int
	customer string
	weight   float64
	deadline time.Time
}

func (r *referenceQueue) hasQueued(customer string) bool {
	for _, c := range r.queued {
		if c.customer == customer {
			return true
		}
	}
	return false
}

// add queues a call and reports true if it got a slot at once instead.
func (r *referenceQueue) add(c *referenceCall) bool {
	if len(r.queued) == 0 && r.running < r.slots {
		r.running++
		return true
	}
	if !r.hasQueued(c.customer) {
		r.startTags[c.customer] = max(r.startTags[c.customer], r.virtualTime-creditCalls/c.weight)
	}
	r.queued = append(r.queued, c)
	return false
}

func (r *referenceQueue) remove(i int) {
	r.queued = append(r.queued[:i:i], r.queued[i+1:]...)
	if len(r.queued) == 0 {
		r.virtualTime, r.startTags = 0, map[string]float64{}
	}
}

// dispatch starts calls while slots are free and returns their ids.
func (r *referenceQueue) dispatch() []int {
	var ids []int
	for r.running < r.slots && len(r.queued) > 0 {
		best := 0
		for i, c := range r.queued {
			b := r.queued[best]
			switch {
			case c.customer == b.customer:
				if c.deadline.Before(b.deadline) {
					best = i
				}
			case r.startTags[c.customer] < r.startTags[b.customer],
				r.startTags[c.customer] == r.startTags[b.customer] && c.customer < b.customer:
				best = i
			}
		}
		c := r.queued[best]
		r.virtualTime = r.startTags[c.customer]
		r.startTags[c.customer] += 1 / c.weight
		r.running++
		r.remove(best)
		ids = append(ids, c.id)
	}
	return ids
}

func granted(w *waiter) bool {
	select {
	case <-w.ready:
		return w.refusal == nil
	default:
		return false
	}
}

// Guards against calls that start out of order, calls that the heaps lose or start twice, and start tags that are dropped
// too early. Random arrivals, ends, cancellations and changes of slots are compared with the reference queue.
func TestQueueMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, r := NewQueue(), &referenceQueue{startTags: map[string]float64{}}
		q.SetSlots("p", 1)
		r.slots = 1
		waiting := map[int]*waiter{}
		base := time.Now().Add(time.Hour)
		for i := range 120 {
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 5:
				n := rapid.IntRange(0, 4).Draw(t, "customer")
				c := &referenceCall{
					id: i, customer: fmt.Sprint(n), weight: float64(int(1) << (n % 3)),
					deadline: base.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "deadline")*1000+i) * time.Millisecond),
				}
				now := time.Now()
				w, refusal := q.startOrEnqueue(Request{
					Customer: c.customer, Weight: uint32(c.weight), Pool: "p", Deadline: c.deadline,
				}, now)
				if r.slots == 0 {
					c.deadline = now.Add(maxWaitWithoutSlots)
				}
				if refusal != nil || (w.ready == nil) != r.add(c) {
					t.Fatalf("step %d: started or queued differently from the reference: %v", i, refusal)
				}
				if w.ready != nil {
					waiting[i] = w
				}
			case op < 8 && r.running > 0:
				r.running--
				q.releaseFunc(&waiter{poolQueue: q.poolQueues["p"], cost: 1})()
			case op == 8 && len(r.queued) > 0:
				n := rapid.IntRange(0, len(r.queued)-1).Draw(t, "cancel")
				id := r.queued[n].id
				q.cancel(waiting[id], newRefusal(1, 0, "test"))
				delete(waiting, id)
				r.remove(n)
			case op == 9:
				r.slots = rapid.IntRange(0, 4).Draw(t, "slots")
				q.SetSlots("p", r.slots)
			}
			for _, id := range r.dispatch() {
				if !granted(waiting[id]) {
					t.Fatalf("step %d: call %d did not get a slot", i, id)
				}
				delete(waiting, id)
			}
			for id, w := range waiting {
				if granted(w) {
					t.Fatalf("step %d: call %d got a slot before its turn", i, id)
				}
			}
			if load := q.Loads()["p"]; load.Running != r.running || load.Queued != len(r.queued) {
				t.Fatalf("step %d: load is %+v, reference has %d running, %d queued", i, load, r.running, len(r.queued))
			}
		}
	})
}
