package mangocustomer

import (
	"container/heap"
	"time"
)

const (
	// estimateSmoothing is the share of a new service time in the estimate.
	estimateSmoothing = 0.1
	// creditCalls is the number of calls that a customer below its share may have started ahead of the others. Calls of a
	// small customer come unevenly; without credit, the second of two close ones waited past its deadline.
	creditCalls = 3
	// deadlineMissedFactor is what a call that was cut off counts by the greater of its time and the estimate.
	deadlineMissedFactor = 1.25
	// estimateDecayRefusals is the number of refusals that lower an estimate by 63%.
	estimateDecayRefusals = 128
	// minPruneThreshold is the number of flows that are kept at least before those without calls are looked for.
	minPruneThreshold = 64
)

// poolQueue is the queue of one profile: start-time fair queueing among flows.
type poolQueue struct {
	weight  float64
	slots   int
	running int
	queued  int
	// virtualTime is the start tag of the call dispatched last.
	virtualTime float64
	// startTag is the lane's own tag among lanes, used when the daemon's limit on running calls binds.
	startTag       float64
	flows          map[string]*flow
	pruneThreshold int
	activeFlows    flowHeap
	// serviceTime is the mean time of a call, pace that of one unit of cost, and paces the same by class.
	serviceTime      time.Duration
	timePerCost      time.Duration
	classTimePerCost map[string]time.Duration
}

func newPoolQueue() *poolQueue {
	return &poolQueue{weight: 1, flows: map[string]*flow{}, pruneThreshold: minPruneThreshold, classTimePerCost: map[string]time.Duration{}}
}

// enqueue queues a call in the flow of its customer.
func (p *poolQueue) enqueue(w *waiter, customer string, weight float64) {
	f := p.flows[customer]
	if f == nil {
		f = &flow{customer: customer}
		p.flows[customer] = f
	}
	if len(f.calls) == 0 {
		f.credit = creditCalls * w.cost / weight
		f.startTag = max(f.startTag, p.virtualTime-f.credit)
		f.weight = weight
		heap.Push(&p.activeFlows, f)
	}
	w.poolQueue, w.flow = p, f
	heap.Push(&f.calls, w)
	f.queuedCost += w.cost
	p.queued++
}

// dequeue takes the call that is due out of the queue and charges its customer.
func (p *poolQueue) dequeue() *waiter {
	f := p.activeFlows[0]
	w := f.calls[0]
	p.virtualTime = f.startTag
	f.startTag += w.cost / f.weight
	heap.Fix(&p.activeFlows, 0)
	p.remove(w)
	return w
}

// remove takes a call out of the queue without charge.
func (p *poolQueue) remove(w *waiter) {
	f := w.flow
	heap.Remove(&f.calls, w.heapIndex)
	f.queuedCost -= w.cost
	p.queued--
	if len(f.calls) > 0 {
		return
	}
	heap.Remove(&p.activeFlows, f.heapIndex)
	p.pruneFlows()
}

// pruneFlows drops flows whose tags no longer matter: all when nothing is queued, else those that virtual time passed.
func (p *poolQueue) pruneFlows() {
	if p.queued == 0 {
		p.virtualTime = 0
		p.flows, p.pruneThreshold = map[string]*flow{}, minPruneThreshold
		return
	}
	if len(p.flows) <= p.pruneThreshold {
		return
	}
	for customer, f := range p.flows {
		if len(f.calls) == 0 && f.startTag <= p.virtualTime-f.credit {
			delete(p.flows, customer)
		}
	}
	// Flows that have to stay put off the next look, so that its cost is spread over as many calls.
	p.pruneThreshold = 2*len(p.flows) + minPruneThreshold
}

// estimateWait estimates the time until a call with this deadline would get a slot: that of a running call to
// end and of the queued calls with lower tags.
func (p *poolQueue) estimateWait(customer string, weight, cost float64, deadline time.Time) time.Duration {
	if p.slots <= 0 {
		return 0
	}
	ownFlow, startTag, work := p.flows[customer], p.virtualTime-creditCalls*cost/weight, 0.0
	if ownFlow != nil {
		costBefore := ownFlow.calls.costBefore(deadline)
		startTag = max(startTag, ownFlow.startTag+costBefore/weight)
		work += costBefore
	}
	for _, f := range p.activeFlows {
		if f != ownFlow && f.startTag <= startTag {
			work += min(f.queuedCost, (startTag-f.startTag)*f.weight+f.calls[0].cost)
		}
	}
	return (p.serviceTime + time.Duration(work*float64(p.timePerCost))) / time.Duration(p.slots)
}

// estimateServiceTime estimates the service time of a call; before the first of its class it is the mean of all.
func (p *poolQueue) estimateServiceTime(w *waiter) time.Duration {
	if timePerCost := p.classTimePerCost[w.class]; timePerCost > 0 {
		return time.Duration(w.cost * float64(timePerCost))
	}
	return p.serviceTime
}

// lowerEstimate lowers the estimate of a class whose call was refused for it. Calls that are refused give no new times, so that a
// high estimate would refuse all calls of the class for as long as the overload lasts.
func (p *poolQueue) lowerEstimate(w *waiter) {
	p.classTimePerCost[w.class] -= p.classTimePerCost[w.class] / estimateDecayRefusals
}

// recordCompletion notes the service time of a call. One that was cut off at its deadline would have taken longer; counting it like
// others would let the estimate fall below what any call needs, and more calls start that are cut off.
func (p *poolQueue) recordCompletion(w *waiter, took time.Duration, deadlineMissed bool) {
	p.running--
	timePerCost := time.Duration(float64(took) / w.cost)
	estimate, ok := p.classTimePerCost[w.class]
	if deadlineMissed {
		timePerCost = time.Duration(deadlineMissedFactor * float64(max(timePerCost, estimate)))
	}
	if !ok {
		estimate = timePerCost
	}
	p.classTimePerCost[w.class] = estimate + time.Duration(estimateSmoothing*float64(timePerCost-estimate))
	if p.serviceTime == 0 {
		p.serviceTime, p.timePerCost = took, timePerCost
	}
	p.timePerCost += time.Duration(estimateSmoothing * float64(timePerCost-p.timePerCost))
	p.serviceTime += time.Duration(estimateSmoothing * float64(took-p.serviceTime))
}
