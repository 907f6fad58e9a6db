package mangocustomer

import (
	"container/heap"
	"time"

	"mangopath.org/mangopath/internal/mangocall"
)

// waiter is a call that was queued or got a slot at once. Its fields are guarded by the queue's lock until ready is closed.
type waiter struct {
	class     string
	poolQueue *poolQueue
	flow      *flow
	deadline  time.Time
	cost      float64
	// heapIndex is the position in flow.calls, -1 when the call is not queued.
	heapIndex int
	// ready is closed when the call gets a slot or is refused; it is nil when the call got a slot at once.
	ready chan struct{}
	// refusal is set before ready is closed when the call leaves the queue without a slot.
	refusal *mangocall.Error
}

// flow has the queued calls of one customer in one pool, the earliest deadline first.
type flow struct {
	customer string
	weight   float64
	// startTag is the virtual start time of the next call.
	startTag float64
	// credit is how far startTag may be behind the virtual time of the pool's queue when calls arrive after an idle time.
	credit float64
	// queuedCost is the sum of the costs of the queued calls.
	queuedCost float64
	calls      callHeap
	// heapIndex is the position in poolQueue.activeFlows.
	heapIndex int
}

// callHeap orders calls by deadline; those without one come last.
type callHeap []*waiter

func (c callHeap) Len() int { return len(c) }

func (c callHeap) Less(i, j int) bool {
	if c[i].deadline.IsZero() || c[j].deadline.IsZero() {
		return !c[i].deadline.IsZero()
	}
	return c[i].deadline.Before(c[j].deadline)
}

func (c callHeap) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].heapIndex, c[j].heapIndex = i, j
}

func (c *callHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*c)
	*c = append(*c, w)
}

func (c *callHeap) Pop() any {
	old := *c
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*c = old[:len(old)-1]
	w.heapIndex = -1
	return w
}

// costBefore returns the total cost of the calls that would start before a new one with this deadline.
func (c callHeap) costBefore(deadline time.Time) float64 {
	cost := 0.0
	for _, w := range c {
		if deadline.IsZero() || (!w.deadline.IsZero() && !deadline.Before(w.deadline)) {
			cost += w.cost
		}
	}
	return cost
}

// latest returns the call with the latest deadline, or one without a deadline if there is any.
func (c callHeap) latest() *waiter {
	last := c[0]
	for _, w := range c[1:] {
		if last.deadline.IsZero() {
			break
		}
		if w.deadline.IsZero() || w.deadline.After(last.deadline) {
			last = w
		}
	}
	return last
}

// flowHeap orders flows by start tag, and by customer among equal tags.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].customer < h[j].customer
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

var (
	_ heap.Interface = (*callHeap)(nil)
	_ heap.Interface = (*flowHeap)(nil)
)
