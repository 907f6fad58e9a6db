package mangocustomer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceQueue is one list with start-time fair queueing by scanning; it forgets customers only when nothing is queued.
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

func (c *referenceQueue) hasQueued(customer string) bool {
	for _, p := range c.queued {
		if p.customer == customer {
			return true
		}
	}
	return false
}

// add returns whether the call runs at once.
func (c *referenceQueue) add(p *referenceCall) bool {
	if len(c.queued) == 0 && c.running < c.slots {
		c.running++
		return true
	}
	if !c.hasQueued(p.customer) {
		c.startTags[p.customer] = max(c.startTags[p.customer], c.virtualTime-creditCalls/p.weight)
	}
	c.queued = append(c.queued, p)
	return false
}

func (c *referenceQueue) remove(i int) {
	c.queued = append(c.queued[:i:i], c.queued[i+1:]...)
	if len(c.queued) == 0 {
		c.virtualTime, c.startTags = 0, map[string]float64{}
	}
}

// dispatch returns the ids of the calls that get slots.
func (c *referenceQueue) dispatch() []int {
	var ids []int
	for c.running < c.slots && len(c.queued) > 0 {
		best := 0
		for i, p := range c.queued {
			b := c.queued[best]
			switch {
			case p.customer == b.customer:
				if p.deadline.Before(b.deadline) {
					best = i
				}
			case c.startTags[p.customer] < c.startTags[b.customer],
				c.startTags[p.customer] == c.startTags[b.customer] && p.customer < b.customer:
				best = i
			}
		}
		p := c.queued[best]
		c.virtualTime = c.startTags[p.customer]
		c.startTags[p.customer] += 1 / p.weight
		c.running++
		c.remove(best)
		ids = append(ids, p.id)
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

// Compares the queue with a central list under random arrivals, ends, cancellations and changes of slots: guards
// against calls out of order, calls that are lost or run twice in the heaps, and forgotten customers that still matter.
func TestQueueMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, c := NewQueue(), &referenceQueue{startTags: map[string]float64{}}
		q.SetSlots("p", 1)
		c.slots = 1
		waiting := map[int]*waiter{}
		base := time.Now().Add(time.Hour)
		for i := range 120 {
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 5:
				n := rapid.IntRange(0, 4).Draw(t, "customer")
				p := &referenceCall{
					id: i, customer: fmt.Sprint(n), weight: float64(int(1) << (n % 3)),
					deadline: base.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "deadline")*1000+i) * time.Millisecond),
				}
				now := time.Now()
				w, refusal := q.startOrEnqueue(Request{
					Customer: p.customer, Weight: uint32(p.weight), Pool: "p", Deadline: p.deadline,
				}, now)
				if c.slots == 0 {
					p.deadline = now.Add(maxWaitWithoutSlots)
				}
				if refusal != nil || (w.ready == nil) != c.add(p) {
					t.Fatalf("step %d: entered differently: %v", i, refusal)
				}
				if w.ready != nil {
					waiting[i] = w
				}
			case op < 8 && c.running > 0:
				c.running--
				q.releaseFunc(&waiter{poolQueue: q.poolQueues["p"], cost: 1})()
			case op == 8 && len(c.queued) > 0:
				n := rapid.IntRange(0, len(c.queued)-1).Draw(t, "cancel")
				id := c.queued[n].id
				q.cancel(waiting[id], newRefusal(1, 0, "test"))
				delete(waiting, id)
				c.remove(n)
			case op == 9:
				c.slots = rapid.IntRange(0, 4).Draw(t, "slots")
				q.SetSlots("p", c.slots)
			}
			for _, id := range c.dispatch() {
				if !granted(waiting[id]) {
					t.Fatalf("step %d: call %d did not get a slot", i, id)
				}
				delete(waiting, id)
			}
			for id, w := range waiting {
				if granted(w) {
					t.Fatalf("step %d: call %d got a slot early", i, id)
				}
			}
			if load := q.Loads()["p"]; load.Running != c.running || load.Queued != len(c.queued) {
				t.Fatalf("step %d: %+v against %d running, %d queued", i, load, c.running, len(c.queued))
			}
		}
	})
}
