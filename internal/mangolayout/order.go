package mangolayout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// orderTimeout bounds one order.
	orderTimeout = 800 * time.Millisecond
	// entryLag is the time for a change of layers to arrive in the entry of a replica.
	entryLag = 2500 * time.Millisecond
	// resendAfter is the time after which an order without an answer is given again.
	resendAfter = 1500 * time.Millisecond
	// reportTimeout bounds a question to a replica, and followStep is the time between two of them.
	reportTimeout = 400 * time.Millisecond
	pollInterval  = 250 * time.Millisecond
	// busyExtension is the time by which an order is taken to be on its way when the replica still carries it out, and
	// carryMax the longest time for that: layers that are given up wait for the requests that pass through them, which may
	// take as long as the longest stream.
	busyExtension = 1500 * time.Millisecond
	maxBusyTime   = 20 * time.Second
	// retryPause is the time after which a replica that refused an order is asked again.
	retryPause = 500 * time.Millisecond
)

// Outcome is what a replica says to an order.
type Outcome int

const (
	// OutcomeUnsent orders did not reach the replica.
	OutcomeUnsent Outcome = iota
	// OutcomeBegun orders are being carried out.
	OutcomeBegun
	// OutcomeDone orders ask for what the replica holds.
	OutcomeDone
	// OutcomeMismatch means that the replica has accepted another number of orders or cannot take this one now.
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

// Order asks a replica to hold layers.
type Order struct {
	Replica *mangoreplica.Replica
	Layers  mangoreplica.Range
	Fence   uint64
	// Urgent orders do not wait for requests that pass through layers that are given up; these go on elsewhere.
	Urgent bool
	// Expected is the number of orders that the replica is to have accepted before. An order that is carried out late,
	// after a newer one, fails because of it.
	Expected uint64
}

// GivenOrder is an order that a replica carries out.
type GivenOrder struct {
	Replica mangoreplica.Incarnation
	Layers  mangoreplica.Range
	// Until is the time by which the entry of the replica is expected to show the layers.
	Until time.Time
}

// Report is what a replica says of its state.
type Report struct {
	AcceptedOrders uint64
	Busy           bool
	Layers         mangoreplica.Range
}

// carryOut sends an order and notes what became of it.
func (p *Placer) carryOut(ctx context.Context, o plannedOrder) {
	if p.send(ctx, o) {
		p.awaitLayers(ctx, o)
	}
}

// send reports whether the replica has begun to carry out the order.
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
		"layers_from": o.Layers.From, "layers_to": o.Layers.To, "reason": o.reason, "fence": o.Fence, "expected": o.Expected,
		"outcome": label, "held_from": o.Replica.Layers.From, "held_to": o.Replica.Layers.To,
	})
	if err != nil {
		entry.WithError(err).Warn("an order got no answer")
	} else {
		entry.Info("a replica was ordered to hold layers")
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
		p.board.Avoid(i, mangoreplica.CauseUnreachable, resendAfter, now)
		p.setPending(i, pendingOrder{layers: o.Replica.Layers, paused: true, until: now.Add(retryPause)})
	default:
		p.setAcceptedOrders(i, o.Expected+1)
		p.recordSent(i, o.Layers, now.Add(2*loadTime(o)+entryLag))
		return true
	}
	return false
}

// awaitLayers tells the other daemons once a replica holds the layers of an order. A replica's entry follows its state after up
// to a heartbeat, and not at all while the store is away, so the replica is asked. The others are told also if the entry
// shows the layers here, since it may not have reached them before the store went away.
func (p *Placer) awaitLayers(ctx context.Context, o plannedOrder) {
	given := time.Now()
	until := given.Add(2*loadTime(o) + entryLag)
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
			p.onSighting(mangoreplica.Sighting{Replica: r.Incarnation(), Layers: r.Layers})
			return
		}
		asking, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := p.client.Report(asking, r)
		cancel()
		if p.superseded(o) {
			return
		}
		switch {
		case err != nil:
		case report.Busy && until.Sub(now) < busyExtension && now.Sub(given) < maxBusyTime:
			until = now.Add(2 * busyExtension)
			p.recordSent(r.Incarnation(), o.Layers, until)
		case !report.Busy && report.Layers == o.Layers:
			p.onSighting(mangoreplica.Sighting{Replica: r.Incarnation(), Layers: report.Layers})
			return
		}
	}
}

// superseded reports whether the replica has accepted a later order. A report, which is some hundred milliseconds old, would
// then bring back the layers of this one.
func (p *Placer) superseded(o plannedOrder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptedOrders[o.Replica.Incarnation()] > o.Expected+1
}

// setExpected sets the number of orders that a replica has accepted; it reports false if the order is off for now. A replica
// without layers is taken as one that has had no order yet, which saves a question for most.
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

// loadTime is the time to load the layers that the replica does not hold yet.
func loadTime(o plannedOrder) time.Duration {
	held := o.Replica.Layers
	kept := max(0, min(held.To, o.Layers.To)-max(held.From, o.Layers.From))
	share := float64(o.Layers.Len()-kept) / float64(max(o.engine.Layers, 1))
	return time.Duration(o.engine.LoadSeconds * share * float64(time.Second))
}

// refreshAcceptedOrders reads how many orders a replica has accepted; the plan then starts from what it holds. The pause covers the lag
// of reports.
func (p *Placer) refreshAcceptedOrders(ctx context.Context, o plannedOrder, now time.Time) {
	i := o.Replica.Incarnation()
	next := pendingOrder{layers: o.Replica.Layers, paused: true, until: now.Add(retryPause)}
	report, err := p.client.Report(ctx, o.Replica)
	if err != nil {
		p.logger.WithField("replica", o.Replica.ID).WithError(err).Warn("a replica did not say how many orders it has accepted")
		p.setPending(i, next)
		return
	}
	p.mu.Lock()
	before, known := p.acceptedOrders[i]
	p.acceptedOrders[i] = max(before, report.AcceptedOrders)
	p.mu.Unlock()
	if !known && !report.Busy && report.Layers == o.Replica.Layers {
		// Nothing was ordered lately, so the number is not behind.
		next.until = now
	}
	if report.Layers != o.Replica.Layers && !report.Busy {
		// The entry follows; until then the layers that the replica itself names count.
		p.onSighting(mangoreplica.Sighting{Replica: i, Layers: report.Layers})
	}
	p.setPending(i, next)
}

// recordSent notes an order on its way and tells it.
func (p *Placer) recordSent(i mangoreplica.Incarnation, layers mangoreplica.Range, until time.Time) {
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
