package mangocustomer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// central is one list with start-time fair queueing by scanning; it forgets customers only when nothing is queued.
type central struct {
	slots, running int
	virtual        float64
	tags           map[string]float64
	waiting        []*pending
}

type pending struct {
	id       int
	customer string
	weight   float64
	deadline time.Time
}

func (c *central) has(customer string) bool {
	for _, p := range c.waiting {
		if p.customer == customer {
			return true
		}
	}
	return false
}

// add returns whether the call runs at once.
func (c *central) add(p *pending) bool {
	if len(c.waiting) == 0 && c.running < c.slots {
		c.running++
		return true
	}
	if !c.has(p.customer) {
		c.tags[p.customer] = max(c.tags[p.customer], c.virtual-creditCalls/p.weight)
	}
	c.waiting = append(c.waiting, p)
	return false
}

func (c *central) remove(i int) {
	c.waiting = append(c.waiting[:i:i], c.waiting[i+1:]...)
	if len(c.waiting) == 0 {
		c.virtual, c.tags = 0, map[string]float64{}
	}
}

// dispatch returns the ids of the calls that get slots.
func (c *central) dispatch() []int {
	var ids []int
	for c.running < c.slots && len(c.waiting) > 0 {
		best := 0
		for i, p := range c.waiting {
			b := c.waiting[best]
			switch {
			case p.customer == b.customer:
				if p.deadline.Before(b.deadline) {
					best = i
				}
			case c.tags[p.customer] < c.tags[b.customer],
				c.tags[p.customer] == c.tags[b.customer] && p.customer < b.customer:
				best = i
			}
		}
		p := c.waiting[best]
		c.virtual = c.tags[p.customer]
		c.tags[p.customer] += 1 / p.weight
		c.running++
		c.remove(best)
		ids = append(ids, p.id)
	}
	return ids
}

func granted(w *waiter) bool {
	select {
	case <-w.ready:
		return w.refused == nil
	default:
		return false
	}
}

// Compares the queue with a central list under random arrivals, ends, cancellations and changes of slots: guards
// against calls out of order, calls that are lost or run twice in the heaps, and forgotten customers that still matter.
func TestQueueAgainstCentralList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, c := NewQueue(), &central{tags: map[string]float64{}}
		q.SetSlots("p", 1)
		c.slots = 1
		waiting := map[int]*waiter{}
		base := time.Now().Add(time.Hour)
		for i := range 120 {
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 5:
				n := rapid.IntRange(0, 4).Draw(t, "customer")
				p := &pending{
					id: i, customer: fmt.Sprint(n), weight: float64(int(1) << (n % 3)),
					deadline: base.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "deadline")*1000+i) * time.Millisecond),
				}
				now := time.Now()
				w, failed := q.enter(Request{
					Customer: p.customer, Weight: uint32(p.weight), Pool: "p", Deadline: p.deadline,
				}, now)
				if c.slots == 0 {
					p.deadline = now.Add(starveWait)
				}
				if failed != nil || (w.ready == nil) != c.add(p) {
					t.Fatalf("step %d: entered differently: %v", i, failed)
				}
				if w.ready != nil {
					waiting[i] = w
				}
			case op < 8 && c.running > 0:
				c.running--
				q.releaser(&waiter{lane: q.lanes["p"], cost: 1})()
			case op == 8 && len(c.waiting) > 0:
				n := rapid.IntRange(0, len(c.waiting)-1).Draw(t, "cancel")
				id := c.waiting[n].id
				q.cancel(waiting[id], refuse(1, 0, "test"))
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
			if load := q.Loads()["p"]; load.Running != c.running || load.Queued != len(c.waiting) {
				t.Fatalf("step %d: %+v against %d running, %d queued", i, load, c.running, len(c.waiting))
			}
		}
	})
}
