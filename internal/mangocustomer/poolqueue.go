package mangocustomer

import (
	"container/heap"
	"time"
)

const (
	// estimateSmoothing is the weight of a new service time in the moving averages.
	estimateSmoothing = 0.1
	// creditCalls is the number of calls that a customer below its share may start ahead of the others. Calls of a small
	// customer arrive unevenly; without credit, the second of two close ones waited past its deadline.
	creditCalls = 3
	// deadlineMissedFactor is applied to the time of a call that had not ended before its deadline, or to the estimate if that
	// is greater, before the time enters the estimate.
	deadlineMissedFactor = 1.25
	// estimateDecayRefusals is the number of consecutive refusals that lower an estimate by 63%.
	estimateDecayRefusals = 128
	// minPruneThreshold is the least number of flows above which idle flows are searched for and dropped.
	minPruneThreshold = 64
)

// poolQueue is the queue of one pool. It orders calls by start-time fair queueing with one flow for each customer: the flow
// with the lowest start tag is next, and each call raises the tag of its flow by its cost divided by the weight.
type poolQueue struct {
	weight  float64
	slots   int
	running int
	queued  int
	// virtualTime is the start tag of the call that was dispatched last.
	virtualTime float64
	// startTag orders the queues of all pools when the daemon's limit on running calls binds.
	startTag float64
	// flows has the flow of each customer; those with queued calls are also in activeFlows. Above pruneThreshold flows,
	// idle ones are dropped.
	flows          map[string]*flow
	pruneThreshold int
	activeFlows    flowHeap
	// serviceTime is the mean time of a call, timePerCost that of one unit of cost, and classTimePerCost the latter by class.
	serviceTime      time.Duration
	timePerCost      time.Duration
	classTimePerCost map[string]time.Duration
}

func newPoolQueue() *poolQueue {
	return &poolQueue{weight: 1, flows: map[string]*flow{}, pruneThreshold: minPruneThreshold, classTimePerCost: map[string]time.Duration{}}
}

// enqueue adds a call to the flow of its customer. The start tag of an idle flow is raised to the virtual time less its
// credit, so that time without calls earns no more than the credit.
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

// dequeue removes the next call and charges its cost to the flow of its customer.
func (p *poolQueue) dequeue() *waiter {
	f := p.activeFlows[0]
	w := f.calls[0]
	p.virtualTime = f.startTag
	f.startTag += w.cost / f.weight
	heap.Fix(&p.activeFlows, 0)
	p.remove(w)
	return w
}

// remove takes a call out of the queue without charging its customer.
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

// pruneFlows drops flows whose tags no longer matter: all when nothing is queued, else idle ones whose tag is so far behind
// the virtual time that a new flow would get the same or a later one.
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
	// The flows that stay raise the threshold, so that the cost of a search is spread over at least as many new flows.
	p.pruneThreshold = 2*len(p.flows) + minPruneThreshold
}

// estimateWait estimates the time until a call with this deadline would get a slot: the mean service time, for the running
// calls, and the time of the queued calls that would start earlier, divided by the number of slots.
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

// estimateServiceTime estimates the service time of a call; before one of its class has ended, it is the mean of all calls.
func (p *poolQueue) estimateServiceTime(w *waiter) time.Duration {
	if timePerCost := p.classTimePerCost[w.class]; timePerCost > 0 {
		return time.Duration(w.cost * float64(timePerCost))
	}
	return p.serviceTime
}

// lowerEstimate lowers the estimate of a class after it caused a refusal. Refused calls give no new service times, so a high
// estimate would otherwise refuse all calls of the class for as long as the overload lasts.
func (p *poolQueue) lowerEstimate(w *waiter) {
	p.classTimePerCost[w.class] -= p.classTimePerCost[w.class] / estimateDecayRefusals
}

// recordCompletion frees the slot of a call and updates the estimates. A call that was cancelled at its deadline would have
// taken longer; counted like others, it would let the estimate fall below what any call needs, and more calls would be
// started that miss their deadline.
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
