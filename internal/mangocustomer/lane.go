package mangocustomer

import (
	"container/heap"
	"time"
)

const (
	// serviceShare is the share of a new service time in the estimate.
	serviceShare = 0.1
	// creditCalls is the number of calls that a customer below its share may have started ahead of the others. Calls of a
	// small customer come unevenly; without credit, the second of two close ones waited past its deadline.
	creditCalls = 3
	// cutFactor is what a call that was cut off counts by the greater of its time and the estimate.
	cutFactor = 1.25
	// refusalsOfDoubt is the number of refusals that lower an estimate by 63%.
	refusalsOfDoubt = 128
	// spareFlows is the number of flows that are kept at least before those without calls are looked for.
	spareFlows = 64
)

// lane is the queue of one profile: start-time fair queueing among flows.
type lane struct {
	weight  float64
	slots   int
	running int
	queued  int
	// virtual is the start tag of the call dispatched last.
	virtual float64
	// start is the lane's own tag among lanes, used when the daemon's limit on running calls binds.
	start   float64
	flows   map[string]*flow
	sweepAt int
	active  flows
	// service is the mean time of a call, pace that of one unit of cost, and paces the same by class.
	service time.Duration
	pace    time.Duration
	paces   map[string]time.Duration
}

func newLane() *lane {
	return &lane{weight: 1, flows: map[string]*flow{}, sweepAt: spareFlows, paces: map[string]time.Duration{}}
}

// add queues a call in the flow of its customer.
func (l *lane) add(w *waiter, customer string, weight float64) {
	f := l.flows[customer]
	if f == nil {
		f = &flow{customer: customer}
		l.flows[customer] = f
	}
	if len(f.calls) == 0 {
		f.credit = creditCalls * w.cost / weight
		f.start = max(f.start, l.virtual-f.credit)
		f.weight = weight
		heap.Push(&l.active, f)
	}
	w.lane, w.flow = l, f
	heap.Push(&f.calls, w)
	f.cost += w.cost
	l.queued++
}

// next takes the call that is due out of the queue and charges its customer.
func (l *lane) next() *waiter {
	f := l.active[0]
	w := f.calls[0]
	l.virtual = f.start
	f.start += w.cost / f.weight
	heap.Fix(&l.active, 0)
	l.remove(w)
	return w
}

// remove takes a call out of the queue without charge.
func (l *lane) remove(w *waiter) {
	f := w.flow
	heap.Remove(&f.calls, w.index)
	f.cost -= w.cost
	l.queued--
	if len(f.calls) > 0 {
		return
	}
	heap.Remove(&l.active, f.index)
	l.forget()
}

// forget drops flows whose tags no longer matter: all when nothing is queued, else those that virtual time passed.
func (l *lane) forget() {
	if l.queued == 0 {
		l.virtual = 0
		l.flows, l.sweepAt = map[string]*flow{}, spareFlows
		return
	}
	if len(l.flows) <= l.sweepAt {
		return
	}
	for name, f := range l.flows {
		if len(f.calls) == 0 && f.start <= l.virtual-f.credit {
			delete(l.flows, name)
		}
	}
	// Flows that have to stay put off the next look, so that its cost is spread over as many calls.
	l.sweepAt = 2*len(l.flows) + spareFlows
}

// wait estimates the time until a call with this deadline would get a slot: that of a running call to
// end and of the queued calls with lower tags.
func (l *lane) wait(customer string, weight, cost float64, deadline time.Time) time.Duration {
	if l.slots <= 0 {
		return 0
	}
	own, tag, work := l.flows[customer], l.virtual-creditCalls*cost/weight, 0.0
	if own != nil {
		before := own.calls.costBefore(deadline)
		tag = max(tag, own.start+before/weight)
		work += before
	}
	for _, f := range l.active {
		if f != own && f.start <= tag {
			work += min(f.cost, (tag-f.start)*f.weight+f.calls[0].cost)
		}
	}
	return (l.service + time.Duration(work*float64(l.pace))) / time.Duration(l.slots)
}

// needs estimates the service time of a call; before the first of its class it is the mean of all.
func (l *lane) needs(w *waiter) time.Duration {
	if pace := l.paces[w.class]; pace > 0 {
		return time.Duration(w.cost * float64(pace))
	}
	return l.service
}

// doubt lowers the estimate of a class whose call was refused for it. Calls that are refused give no new times, so that a
// high estimate would refuse all calls of the class for as long as the overload lasts.
func (l *lane) doubt(w *waiter) { l.paces[w.class] -= l.paces[w.class] / refusalsOfDoubt }

// ended notes the service time of a call. One that was cut off at its deadline would have taken longer; counting it like
// others would let the estimate fall below what any call needs, and more calls start that are cut off.
func (l *lane) ended(w *waiter, took time.Duration, cut bool) {
	l.running--
	pace := time.Duration(float64(took) / w.cost)
	known, ok := l.paces[w.class]
	if cut {
		pace = time.Duration(cutFactor * float64(max(pace, known)))
	}
	if !ok {
		known = pace
	}
	l.paces[w.class] = known + time.Duration(serviceShare*float64(pace-known))
	if l.service == 0 {
		l.service, l.pace = took, pace
	}
	l.pace += time.Duration(serviceShare * float64(pace-l.pace))
	l.service += time.Duration(serviceShare * float64(took-l.service))
}
