package mangolayout

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// Outcome is what a replica says to an order.
type Outcome int

const (
	// Unsent orders did not reach the replica.
	Unsent Outcome = iota
	// Begun orders are being carried out.
	Begun
	// Done orders ask for what the replica holds.
	Done
	// Mismatch means that the replica has accepted another number of orders or cannot take this one now.
	Mismatch
	// Outranked means that the replica has seen a higher fencing number.
	Outranked
)

// String returns the name of an outcome as it appears in logs.
func (o Outcome) String() string {
	switch o {
	case Unsent:
		return "Unsent"
	case Begun:
		return "Begun"
	case Done:
		return "Done"
	case Mismatch:
		return "Mismatch"
	case Outranked:
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

// Given is an order that a replica carries out.
type Given struct {
	Replica mangoreplica.Incarnation
	Layers  mangoreplica.Range
	// Until is the time by which the entry of the replica is expected to show the layers.
	Until time.Time
}

// Report is what a replica says of its state.
type Report struct {
	Orders uint64
	Busy   bool
	Layers mangoreplica.Range
}

// Engines gives orders to replicas and asks for their state.
type Engines interface {
	Place(ctx context.Context, o Order) (Outcome, error)
	Report(ctx context.Context, r *mangoreplica.Replica) (Report, error)
	// Reach reports whether a replica accepts a connection within a time.
	Reach(ctx context.Context, r *mangoreplica.Replica, timeout time.Duration) error
}

// Tenure says whether this daemon may give orders, and under which fencing number.
type Tenure interface {
	Holds() (fence uint64, ok bool)
	Renounce(fence uint64)
}

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// Observer counts orders. It never blocks.
type Observer func(reason, outcome string)

const (
	// interval is the time between two plans; a change of the state comes before it.
	interval = 200 * time.Millisecond
	// settleQuiet is the time without new replicas after which a fleet that holds no layers is planned, and settleMax the
	// longest wait for it. Replicas announce themselves over the first second or two.
	settleQuiet = time.Second
	settleMax   = 4 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 800 * time.Millisecond
	// entryLag is the time for a change of layers to arrive in the entry of a replica.
	entryLag = 2500 * time.Millisecond
	// repeatAfter is the time after which an order without an answer is given again.
	repeatAfter = 1500 * time.Millisecond
	// reportTimeout bounds a question to a replica, and followStep is the time between two of them.
	reportTimeout = 400 * time.Millisecond
	followStep    = 250 * time.Millisecond
	// conflictPause is the time after which a replica that refused an order is asked again.
	conflictPause = 500 * time.Millisecond
)

// pending is an order that was given and is not seen in the entry yet.
type pending struct {
	layers mangoreplica.Range
	// blocked says that the replica keeps what it has for a while, since it refused an order.
	blocked bool
	until   time.Time
}

// Placer gives orders while its daemon holds the lease.
type Placer struct {
	state   State
	tenure  Tenure
	engines Engines
	board   *mangoreplica.Board
	signal  <-chan struct{}
	logger  logrus.FieldLogger
	observe Observer
	sighted func(s mangoreplica.Sighting)
	given   func(g Given)

	mu      sync.Mutex
	pending map[mangoreplica.Incarnation]pending
	// orders has the number of accepted orders of replicas, as far as is known.
	orders  map[mangoreplica.Incarnation]uint64
	clarity *clarity
	// doubts has what was found out about replicas that seem to be lost.
	doubts map[mangoreplica.Incarnation]doubt
	// surveyed is the time of the last survey; zero if there was none since this daemon places layers without the store.
	surveyed  time.Time
	surveying bool
	// seen is the number of replicas of a service that holds no layers, since when and from when on.
	seen map[string]settling
	// running are the goroutines of orders, surveys and checks.
	running sync.WaitGroup
}

type settling struct {
	count       int
	since, from time.Time
}

// Option sets a property of a Placer.
type Option func(*Placer)

// WithLogger sets the logger of placement decisions.
func WithLogger(l logrus.FieldLogger) Option { return func(p *Placer) { p.logger = l } }

// WithObserver sets the receiver of counts.
func WithObserver(o Observer) Option { return func(p *Placer) { p.observe = o } }

// WithSignal sets the channel that is signalled after changes of the state.
func WithSignal(s <-chan struct{}) Option { return func(p *Placer) { p.signal = s } }

// WithGiven sets the receiver of orders that were given. It must not block.
func WithGiven(f func(g Given)) Option { return func(p *Placer) { p.given = f } }

// WithSightings sets the receiver of what replicas say of their layers after an order. It must not block.
func WithSightings(f func(s mangoreplica.Sighting)) Option { return func(p *Placer) { p.sighted = f } }

// New returns a placer. The board tells which replicas are lost before their entries go away.
func New(state State, tenure Tenure, engines Engines, board *mangoreplica.Board, opts ...Option) *Placer {
	p := &Placer{
		state: state, tenure: tenure, engines: engines, board: board, logger: logrus.StandardLogger(),
		observe: func(string, string) {}, sighted: func(mangoreplica.Sighting) {}, given: func(Given) {}, pending: map[mangoreplica.Incarnation]pending{},
		orders: map[mangoreplica.Incarnation]uint64{}, seen: map[string]settling{},
		doubts: map[mangoreplica.Incarnation]doubt{}, clarity: newClarity(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Run plans and gives orders until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	defer p.running.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-p.signal:
		}
		fence, ok := p.tenure.Holds()
		if !ok {
			p.forget()
			continue
		}
		if p.state.View().Reachable {
			p.endSurveys()
		} else if !p.known(ctx) {
			continue
		}
		for _, o := range p.round(ctx, fence, time.Now()) {
			p.running.Go(func() { p.give(ctx, o) })
		}
	}
}

// Learn takes an order that another daemon has given. It never blocks.
func (p *Placer) Learn(g Given) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[g.Replica] = pending{layers: g.Layers, until: g.Until}
}

// forget drops the numbers of orders, as another daemon may give some now; the orders themselves it tells.
func (p *Placer) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i, o := range p.pending {
		if !now.Before(o.until) {
			delete(p.pending, i)
		}
	}
	clear(p.orders)
	p.clarity = newClarity()
	p.surveyed = time.Time{}
}

// assigned is an order with what it is for.
type assigned struct {
	Order
	engine *mangoroute.Engine
	reason Reason
}

// round returns the orders to give now and notes them as pending.
func (p *Placer) round(ctx context.Context, fence uint64, now time.Time) []assigned {
	view := p.state.View()
	if view.Table == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleDoubts(now)
	p.clarity.forget(view.Fleet)
	var orders []assigned
	var models []string
	for name, s := range view.Table.Services() {
		if s.Engine == nil || s.Engine.Layers <= 0 {
			continue
		}
		models = append(models, name)
		replicas := view.Fleet.Of(name)
		outages := p.board.Outages(now)
		p.clarity.look(replicas, func(i mangoreplica.Incarnation) bool {
			o, ok := outages[i]
			return ok && o.Cause.Lost() && !o.Cause.Certain()
		}, now, p.logger)
		states, loading := p.holdings(ctx, replicas, outages, now)
		if !p.settled(name, states, now) {
			continue
		}
		for _, m := range Plan(s.Engine, states) {
			// Copies can wait, while a range without a holder keeps a data centre from serving.
			if m.Reason == Copy && loading >= max(s.Engine.LoadsAtOnce, 1) {
				continue
			}
			loading++
			i := m.Replica.Incarnation()
			p.pending[i] = pending{layers: m.Layers, until: now.Add(orderTimeout + repeatAfter)}
			orders = append(orders, assigned{
				Order:  Order{Replica: m.Replica, Layers: m.Layers, Fence: fence, Urgent: m.Urgent},
				engine: s.Engine, reason: m.Reason,
			})
		}
	}
	p.reachDoubted(ctx, view.Fleet, models, now)
	return orders
}

// holdings returns the replicas that count, with the orders on their way, and the number of these.
func (p *Placer) holdings(ctx context.Context, replicas []*mangoreplica.Replica, outages map[mangoreplica.Incarnation]mangoreplica.Outage, now time.Time) ([]Holding, int) {
	var states []Holding
	loading := 0
	for _, r := range replicas {
		i := r.Incarnation()
		o, avoided := outages[i]
		leaving := r.Draining || (avoided && o.Cause == mangoreplica.CauseLeaving)
		if !leaving && avoided && p.lost(ctx, r, o.Cause, now) {
			continue
		}
		if !p.clarity.clear(r.DataCentre, now) {
			continue
		}
		if leaving {
			states = append(states, Holding{Replica: r, Layers: r.Layers, Leaving: true})
			continue
		}
		requests, _ := p.board.InFlight(r.ID)
		s := Holding{Replica: r, Layers: r.Layers, Settled: true, Requests: requests}
		if o, ok := p.pending[i]; ok {
			switch {
			case !now.Before(o.until), !o.blocked && r.Layers == o.layers:
				delete(p.pending, i)
			case o.blocked:
				s.Settled = false
			default:
				s.Layers, s.Settled = o.layers, false
				loading++
			}
		}
		states = append(states, s)
	}
	return states, loading
}

// settled reports whether the replicas of a service can be planned. A fleet that holds nothing is given time to announce
// itself, since a layout of its first half would have to be made again.
func (p *Placer) settled(service string, states []Holding, now time.Time) bool {
	for _, s := range states {
		if s.Layers.Len() > 0 {
			delete(p.seen, service)
			return true
		}
	}
	s, ok := p.seen[service]
	if !ok {
		s.from = now
	}
	if len(states) != s.count || !ok {
		s.count, s.since = len(states), now
	}
	p.seen[service] = s
	return len(states) > 0 && (now.Sub(s.since) >= settleQuiet || now.Sub(s.from) >= settleMax)
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
	case outcome == Outranked:
		p.tenure.Renounce(o.Fence)
	case outcome == Mismatch:
		p.catchUp(ctx, o, now)
	case outcome == Unsent:
		p.board.Avoid(i, mangoreplica.CauseUnreachable, repeatAfter, now)
		p.settle(i, pending{layers: o.Replica.Layers, blocked: true, until: now.Add(conflictPause)})
	default:
		p.accepted(i, o.Expected+1)
		p.begun(i, o.Layers, now.Add(2*loadTime(o)+entryLag))
		return true
	}
	return false
}

// follow asks the replica for its layers once they should be loaded, if its entry does not show them by then. A replica's
// entry follows its state after up to a heartbeat, and not at all while the store is away.
func (p *Placer) follow(ctx context.Context, o assigned) {
	until := time.Now().Add(2*loadTime(o) + entryLag)
	for wait := loadTime(o); ; wait = followStep {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		r := p.state.View().Fleet.ByID(o.Replica.ID)
		if r == nil || r.Born != o.Replica.Born || r.Layers == o.Layers || time.Now().After(until) {
			return
		}
		asking, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := p.engines.Report(asking, r)
		cancel()
		if err == nil && !report.Busy && report.Layers == o.Layers {
			p.sighted(mangoreplica.Sighting{Replica: r.Incarnation(), Layers: report.Layers})
			return
		}
	}
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
	p.orders[i] = max(before, report.Orders)
	p.mu.Unlock()
	if !known && !report.Busy && report.Layers == o.Replica.Layers {
		// Nothing was ordered lately, so the number is not behind.
		next.until = now
	}
	if report.Layers != o.Replica.Layers && !report.Busy {
		// The entry follows; until then the layers that the replica itself names count.
		p.sighted(mangoreplica.Sighting{Replica: i, Layers: report.Layers})
	}
	p.settle(i, next)
}

// begun notes an order on its way and tells it.
func (p *Placer) begun(i mangoreplica.Incarnation, layers mangoreplica.Range, until time.Time) {
	p.settle(i, pending{layers: layers, until: until})
	p.given(Given{Replica: i, Layers: layers, Until: until})
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
