package mangolayout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangorevision"
)

const (
	// orderTimeout bounds the sending of an order, with the report that it may need.
	orderTimeout = 800 * time.Millisecond
	// entryLag is how long a change of layers may take to show in the entry of the replica in the store.
	entryLag = 2500 * time.Millisecond
	// resendAfter is the time after which an order without an answer may be sent again.
	resendAfter = 1500 * time.Millisecond
	// reportTimeout bounds the reading of a report, and pollInterval is the pause between reports while a replica carries
	// out an order.
	reportTimeout = 400 * time.Millisecond
	pollInterval  = 250 * time.Millisecond
	// busyExtension is the remaining time below which an order stays pending for longer, by twice this time, if the replica
	// is still busy. maxBusyTime bounds this: layers that are sent up wait for the requests that pass through them, which
	// may take as long as the longest stream.
	busyExtension = 1500 * time.Millisecond
	maxBusyTime   = 20 * time.Second
	// retryPause is the time for which a replica gets no orders after it refused one or could not be reached.
	retryPause = 500 * time.Millisecond
	// reportLag is the age that a report may have.
	reportLag = 200 * time.Millisecond
)

// Outcome is the answer of a replica to an order.
type Outcome int

const (
	// OutcomeUnsent means that the order did not reach the replica.
	OutcomeUnsent Outcome = iota
	// OutcomeBegun means that the replica has begun to carry out the order.
	OutcomeBegun
	// OutcomeDone means that the replica holds the layers already.
	OutcomeDone
	// OutcomeMismatch means that the replica has accepted another number of orders than expected or cannot take this one now.
	OutcomeMismatch
	// OutcomeOutranked means that the replica has seen a higher fencing number.
	OutcomeOutranked
)

// String returns the name of an outcome as it appears in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeUnsent:
		return "Unsent"
	case OutcomeBegun:
		return "Begun"
	case OutcomeDone:
		return "Done"
	case OutcomeMismatch:
		return "Mismatch"
	case OutcomeOutranked:
		return "Outranked"
	default:
		return "Unknown"
	}
}

// Order asks a replica to hold a range of layers.
type Order struct {
	Replica *mangoreplica.Replica
	Layers  mangoreplica.LayerRange
	Fence   uint64
	// Urgent orders do not wait for the requests that pass through layers that are sent up; these have to continue
	// elsewhere.
	Urgent bool
	// Expected is the number of orders that the replica must have accepted before. An order that arrives late, after a
	// newer one, fails because of it.
	Expected uint64
}

// GivenOrder is an order that was sent to a replica and that it probably carries out.
type GivenOrder struct {
	Replica mangoreplica.Incarnation
	Layers  mangoreplica.LayerRange
	// Until is the time by which the entry of the replica should show the layers.
	Until time.Time
}

// Report is the state of a replica as told by itself.
type Report struct {
	// AcceptedOrders is the number of orders that it has accepted.
	AcceptedOrders uint64
	// Busy means that it is still carrying out an order.
	Busy   bool
	Layers mangoreplica.LayerRange
}

// carryOut sends an order and, if the replica accepts it, waits until the replica holds the layers.
func (p *Placer) carryOut(ctx context.Context, o plannedOrder) {
	if p.send(ctx, o) {
		p.awaitLayers(ctx, o)
	}
}

// send sends an order, records its outcome and reports whether the replica has accepted it.
func (p *Placer) send(ctx context.Context, o plannedOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !p.setExpected(ctx, &o) {
		return false
	}
	outcome, err := p.client.Place(ctx, o.Order)
	now := time.Now()
	label := outcome.String()
	if err != nil {
		label = "NoAnswer"
	}
	p.observe(string(o.reason), label)
	entry := p.logger.WithFields(logrus.Fields{
		"event": "order_given", "replica": o.Replica.ID, "address": o.Replica.Address, "data_centre": o.Replica.DataCentre,
		"layers_from": o.Layers.From, "layers_to": o.Layers.To, "reason": o.reason, "fence": mangorevision.Text(o.Fence), "expected": o.Expected,
		"outcome": label, "held_from": o.Replica.Layers.From, "held_to": o.Replica.Layers.To,
	})
	if err != nil {
		entry.WithError(err).Warn("replica did not answer an order")
	} else {
		entry.Info("got the outcome of an order for layers")
	}
	i := o.Replica.Incarnation()
	switch {
	case err != nil:
		p.recordSent(i, o.Layers, now.Add(resendAfter))
	case outcome == OutcomeOutranked:
		p.lease.Renounce(o.Fence)
	case outcome == OutcomeMismatch:
		p.refreshAcceptedOrders(ctx, o, now)
	case outcome == OutcomeUnsent:
		p.health.Avoid(i, mangoreplica.CauseUnreachable, resendAfter, now)
		p.setPending(i, pendingOrder{layers: o.Replica.Layers, paused: true, until: now.Add(retryPause)})
	default:
		p.setAcceptedOrders(i, o.Expected+1)
		p.recordSent(i, o.Layers, now.Add(2*loadTime(o)+entryLag))
		return true
	}
	return false
}

// awaitLayers polls a replica until it holds the layers of an order, and passes them to the layer report handler. The entry
// of a replica lags by up to a heartbeat, and does not change at all while the store is unreachable, so the replica itself
// is asked. If the entry shows the layers here, they are passed on too, since it may not have reached the other daemons
// before the store became unreachable.
func (p *Placer) awaitLayers(ctx context.Context, o plannedOrder) {
	sent := time.Now()
	until := sent.Add(2*loadTime(o) + entryLag)
	for wait := loadTime(o); ; wait = pollInterval {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		r := p.state.View().Fleet.ByID(o.Replica.ID)
		now := time.Now()
		if r == nil || r.Born != o.Replica.Born || now.After(until) || p.superseded(o) {
			return
		}
		if r.Layers == o.Layers {
			p.onLayerReport(mangoreplica.LayerReport{Replica: r.Incarnation(), Layers: r.Layers})
			return
		}
		reporting, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := p.client.Report(reporting, r)
		cancel()
		if p.superseded(o) {
			return
		}
		switch {
		case err != nil:
		case report.Busy && until.Sub(now) < busyExtension && now.Sub(sent) < maxBusyTime:
			until = now.Add(2 * busyExtension)
			p.recordSent(r.Incarnation(), o.Layers, until)
		case !report.Busy && report.Layers == o.Layers:
			p.onLayerReport(mangoreplica.LayerReport{Replica: r.Incarnation(), Layers: report.Layers})
			return
		}
	}
}

// superseded reports whether the replica has accepted a later order. A report, which is some hundred milliseconds old,
// would then bring back the layers of this one.
func (p *Placer) superseded(o plannedOrder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptedOrders[o.Replica.Incarnation()] > o.Expected+1
}

// setExpected sets the number of orders that the replica must have accepted. If it is unknown, setExpected reads it and
// returns false, and the order is dropped until the next plan. A replica without layers is assumed to have accepted no
// order yet, which saves a report for most replicas.
func (p *Placer) setExpected(ctx context.Context, o *plannedOrder) bool {
	p.mu.Lock()
	expected, known := p.acceptedOrders[o.Replica.Incarnation()]
	p.mu.Unlock()
	if !known && o.Replica.Layers.Len() > 0 {
		p.refreshAcceptedOrders(ctx, *o, time.Now())
		return false
	}
	o.Expected = expected
	return true
}

// loadTime returns the time to load the layers that the replica does not hold yet.
func loadTime(o plannedOrder) time.Duration {
	held := o.Replica.Layers
	kept := max(0, min(held.To, o.Layers.To)-max(held.From, o.Layers.From))
	share := float64(o.Layers.Len()-kept) / float64(max(o.engine.Layers, 1))
	return time.Duration(o.engine.LoadSeconds * share * float64(time.Second))
}

// refreshAcceptedOrders reads how many orders a replica has accepted and pauses it, so that a later plan starts from the
// layers that it reports. The pause covers the time by which reports lag behind. None is needed if the report shows further
// orders and unchanged layers: those orders changed the paths of requests, and the next plan can go on with their number.
func (p *Placer) refreshAcceptedOrders(ctx context.Context, o plannedOrder, now time.Time) {
	i := o.Replica.Incarnation()
	next := pendingOrder{layers: o.Replica.Layers, paused: true, until: now.Add(retryPause)}
	report, err := p.client.Report(ctx, o.Replica)
	if err != nil {
		p.logger.WithField("replica", o.Replica.ID).WithError(err).Warn("replica did not report how many orders it has accepted")
		p.setPending(i, next)
		return
	}
	p.mu.Lock()
	before, known := p.acceptedOrders[i]
	p.acceptedOrders[i] = max(before, report.AcceptedOrders)
	p.mu.Unlock()
	unchanged := !report.Busy && report.Layers == o.Replica.Layers
	if report.Layers != o.Replica.Layers && !report.Busy {
		// The entry follows later; until then the reported layers count.
		p.onLayerReport(mangoreplica.LayerReport{Replica: i, Layers: report.Layers})
	}
	switch {
	case unchanged && (!known || report.AcceptedOrders > before):
		next.until = now
	case unchanged && o.Urgent:
		// The report is older than the order that the replica accepted in between.
		next.until = now.Add(reportLag)
	}
	p.setPending(i, next)
	if !next.until.After(now) {
		p.requestPlan()
	}
}

// requestPlan makes Run plan again without waiting for the next interval. It never blocks.
func (p *Placer) requestPlan() {
	select {
	case p.replan <- struct{}{}:
	default:
	}
}

// recordSent records an order as pending and passes it to the order handler.
func (p *Placer) recordSent(i mangoreplica.Incarnation, layers mangoreplica.LayerRange, until time.Time) {
	p.setPending(i, pendingOrder{layers: layers, until: until})
	p.onOrder(GivenOrder{Replica: i, Layers: layers, Until: until})
}

func (p *Placer) setPending(i mangoreplica.Incarnation, o pendingOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingOrders[i] = o
}

func (p *Placer) setAcceptedOrders(i mangoreplica.Incarnation, orders uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptedOrders[i] = orders
}
