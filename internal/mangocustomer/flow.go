package mangocustomer

import (
	"container/heap"
	"time"

	"mangopath.org/mangopath/internal/mangocall"
)

// waiter is a queued call. Its fields are guarded by the queue's lock until ready is closed.
type waiter struct {
	class    string
	lane     *lane
	flow     *flow
	deadline time.Time
	cost     float64
	index    int
	ready    chan struct{}
	// refused is set before ready is closed when the call was taken out of the queue without a slot.
	refused *mangocall.Error
}

// flow has the queued calls of one customer for one profile, the earliest deadline first.
type flow struct {
	customer string
	weight   float64
	// start is the virtual start time of its next call.
	start float64
	// credit is how far its start time may lie behind the lane's; cost is that of its queued calls.
	credit float64
	cost   float64
	calls  calls
	index  int
}

type calls []*waiter

func (c calls) Len() int { return len(c) }

func (c calls) Less(i, j int) bool {
	if c[i].deadline.IsZero() || c[j].deadline.IsZero() {
		return !c[i].deadline.IsZero()
	}
	return c[i].deadline.Before(c[j].deadline)
}

func (c calls) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].index, c[j].index = i, j
}

func (c *calls) Push(x any) {
	w := x.(*waiter)
	w.index = len(*c)
	*c = append(*c, w)
}

func (c *calls) Pop() any {
	old := *c
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*c = old[:len(old)-1]
	w.index = -1
	return w
}

// costBefore returns the cost of the calls that run before one with this deadline.
func (c calls) costBefore(deadline time.Time) float64 {
	cost := 0.0
	for _, w := range c {
		if deadline.IsZero() || (!w.deadline.IsZero() && !deadline.Before(w.deadline)) {
			cost += w.cost
		}
	}
	return cost
}

// last returns the call with the latest deadline.
func (c calls) last() *waiter {
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

type flows []*flow

func (f flows) Len() int { return len(f) }

func (f flows) Less(i, j int) bool {
	if f[i].start != f[j].start {
		return f[i].start < f[j].start
	}
	return f[i].customer < f[j].customer
}

func (f flows) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].index, f[j].index = i, j
}

func (f *flows) Push(x any) {
	l := x.(*flow)
	l.index = len(*f)
	*f = append(*f, l)
}

func (f *flows) Pop() any {
	old := *f
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*f = old[:len(old)-1]
	l.index = -1
	return l
}

var (
	_ heap.Interface = (*calls)(nil)
	_ heap.Interface = (*flows)(nil)
)
