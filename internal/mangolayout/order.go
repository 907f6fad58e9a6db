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
	// repeatAfter is the time after which an order without an answer is given again.
	repeatAfter = 1500 * time.Millisecond
	// reportTimeout bounds a question to a replica, and followStep is the time between two of them.
	reportTimeout = 400 * time.Millisecond
	followStep    = 250 * time.Millisecond
	// busyExtension is the time by which an order is taken to be on its way when the replica still carries it out, and
	// carryMax the longest time for that: layers that are given up wait for the requests that pass through them, which may
	// take as long as the longest stream.
	busyExtension = 1500 * time.Millisecond
	carryMax      = 20 * time.Second
	// conflictPause is the time after which a replica that refused an order is asked again.
	conflictPause = 500 * time.Millisecond
)

// Outcome is what a replica says to an order.
type Outcome int

const (
	// Unsent orders did not reach the replica.
	OutcomeUnsent Outcome = iota
	// Begun orders are being carried out.
	OutcomeBegun
	// Done orders ask for what the replica holds.
	OutcomeDone
	// Mismatch means that the replica has accepted another number of orders or cannot take this one now.
	OutcomeMismatch
	// Outranked means that the replica has seen a higher fencing number.
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
	Layers  mangoreplica.LayerRange
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
	Layers  mangoreplica.LayerRange
	// Until is the time by which the entry of the replica is expected to show the layers.
	Until time.Time
}

// Report is what a replica says of its state.
type Report struct {
	AcceptedOrders uint64
	Busy   bool
	Layers mangoreplica.LayerRange
}

// give sends an order and notes what became of it.
func (p *Placer) give(ctx context.Context, o assigned) {
	if p.place(ctx, o) {
		p.follow(ctx, o)
	}
}

// place reports whether the replica has begun to carry out the order.
func (p *Placer) place(ctx context.Context, o assigned) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !p.prepare(ctx, &o) {
		return false
	}
	outcome, err := p.engines.Place(ctx, o.Order)
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
		p.begun(i, o.Layers, now.Add(repeatAfter))
	case outcome == OutcomeOutranked:
		p.tenure.Renounce(o.Fence)
	case outcome == OutcomeMismatch:
		p.catchUp(ctx, o, now)
	case outcome == OutcomeUnsent:
		p.board.Avoid(i, mangoreplica.CauseUnreachable, repeatAfter, now)
		p.settle(i, pending{layers: o.Replica.Layers, blocked: true, until: now.Add(conflictPause)})
	default:
		p.accepted(i, o.Expected+1)
		p.begun(i, o.Layers, now.Add(2*loadTime(o)+entryLag))
		return true
	}
	return false
}

// follow tells the other daemons once a replica holds the layers of an order. A replica's entry follows its state after up
// to a heartbeat, and not at all while the store is away, so the replica is asked. The others are told also if the entry
// shows the layers here, since it may not have reached them before the store went away.
func (p *Placer) follow(ctx context.Context, o assigned) {
	given := time.Now()
	until := given.Add(2*loadTime(o) + entryLag)
	for wait := loadTime(o); ; wait = followStep {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		r := p.state.View().Fleet.ByID(o.Replica.ID)
		now := time.Now()
		if r == nil || r.Born != o.Replica.Born || now.After(until) || p.overtaken(o) {
			return
		}
		if r.Layers == o.Layers {
			p.sighted(mangoreplica.LayerReport{Replica: r.Incarnation(), Layers: r.Layers})
			return
		}
		asking, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := p.engines.Report(asking, r)
		cancel()
		if p.overtaken(o) {
			return
		}
		switch {
		case err != nil:
		case report.Busy && until.Sub(now) < busyExtension && now.Sub(given) < carryMax:
			until = now.Add(2 * busyExtension)
			p.begun(r.Incarnation(), o.Layers, until)
		case !report.Busy && report.Layers == o.Layers:
			p.sighted(mangoreplica.LayerReport{Replica: r.Incarnation(), Layers: report.Layers})
			return
		}
	}
}

// overtaken reports whether the replica has accepted a later order. A report, which is some hundred milliseconds old, would
// then bring back the layers of this one.
func (p *Placer) overtaken(o assigned) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orders[o.Replica.Incarnation()] > o.Expected+1
}

// prepare sets the number of orders that a replica has accepted; it reports false if the order is off for now. A replica
// without layers is taken as one that has had no order yet, which saves a question for most.
func (p *Placer) prepare(ctx context.Context, o *assigned) bool {
	p.mu.Lock()
	expected, known := p.orders[o.Replica.Incarnation()]
	p.mu.Unlock()
	if !known && o.Replica.Layers.Len() > 0 {
		p.catchUp(ctx, *o, time.Now())
		return false
	}
	o.Expected = expected
	return true
}

// loadTime is the time to load the layers that the replica does not hold yet.
func loadTime(o assigned) time.Duration {
	held := o.Replica.Layers
	kept := max(0, min(held.To, o.Layers.To)-max(held.From, o.Layers.From))
	share := float64(o.Layers.Len()-kept) / float64(max(o.engine.Layers, 1))
	return time.Duration(o.engine.LoadSeconds * share * float64(time.Second))
}

// catchUp reads how many orders a replica has accepted; the plan then starts from what it holds. The pause covers the lag
// of reports.
func (p *Placer) catchUp(ctx context.Context, o assigned, now time.Time) {
	i := o.Replica.Incarnation()
	next := pending{layers: o.Replica.Layers, blocked: true, until: now.Add(conflictPause)}
	report, err := p.engines.Report(ctx, o.Replica)
	if err != nil {
		p.logger.WithField("replica", o.Replica.ID).WithError(err).Warn("a replica did not say how many orders it has accepted")
		p.settle(i, next)
		return
	}
	p.mu.Lock()
	before, known := p.orders[i]
	p.orders[i] = max(before, report.AcceptedOrders)
	p.mu.Unlock()
	if !known && !report.Busy && report.Layers == o.Replica.Layers {
		// Nothing was ordered lately, so the number is not behind.
		next.until = now
	}
	if report.Layers != o.Replica.Layers && !report.Busy {
		// The entry follows; until then the layers that the replica itself names count.
		p.sighted(mangoreplica.LayerReport{Replica: i, Layers: report.Layers})
	}
	p.settle(i, next)
}

// begun notes an order on its way and tells it.
func (p *Placer) begun(i mangoreplica.Incarnation, layers mangoreplica.LayerRange, until time.Time) {
	p.settle(i, pending{layers: layers, until: until})
	p.given(GivenOrder{Replica: i, Layers: layers, Until: until})
}

func (p *Placer) settle(i mangoreplica.Incarnation, o pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[i] = o
}

func (p *Placer) accepted(i mangoreplica.Incarnation, orders uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders[i] = orders
}
