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

// ReplicaClient gives orders to replicas and asks for their state.
type ReplicaClient interface {
	Place(ctx context.Context, o Order) (Outcome, error)
	Report(ctx context.Context, r *mangoreplica.Replica) (Report, error)
	// Reach reports whether a replica accepts a connection within a time.
	Reach(ctx context.Context, r *mangoreplica.Replica, timeout time.Duration) error
}

// Lease says whether this daemon may give orders, and under which fencing number.
type Lease interface {
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
)

// pending is an order that was given and is not seen in the entry yet.
type pending struct {
	layers mangoreplica.LayerRange
	// blocked says that the replica keeps what it has for a while, since it refused an order.
	blocked bool
	until   time.Time
}

// Placer gives orders while its daemon holds the lease.
type Placer struct {
	state   State
	tenure  Lease
	engines ReplicaClient
	board   *mangoreplica.HealthTracker
	signal  <-chan struct{}
	logger  logrus.FieldLogger
	observe Observer
	sighted func(s mangoreplica.LayerReport)
	given   func(g GivenOrder)

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

// WithChangeSignal sets the channel that is signalled after changes of the state.
func WithChangeSignal(s <-chan struct{}) Option { return func(p *Placer) { p.signal = s } }

// WithOrderHandler sets the receiver of orders that were given. It must not block.
func WithOrderHandler(f func(g GivenOrder)) Option { return func(p *Placer) { p.given = f } }

// WithSightingHandler sets the receiver of what replicas say of their layers after an order. It must not block.
func WithSightingHandler(f func(s mangoreplica.LayerReport)) Option { return func(p *Placer) { p.sighted = f } }

// New returns a placer. The board tells which replicas are lost before their entries go away.
func New(state State, tenure Lease, engines ReplicaClient, board *mangoreplica.HealthTracker, opts ...Option) *Placer {
	p := &Placer{
		state: state, tenure: tenure, engines: engines, board: board, logger: logrus.StandardLogger(),
		observe: func(string, string) {}, sighted: func(mangoreplica.LayerReport) {}, given: func(GivenOrder) {}, pending: map[mangoreplica.Incarnation]pending{},
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

// RecordOrder takes an order that another daemon has given. It never blocks.
func (p *Placer) RecordOrder(g GivenOrder) {
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
		if !s.Split() {
			continue
		}
		models = append(models, name)
		replicas := view.Fleet.ByService(name)
		outages := p.board.Outages(now)
		p.clarity.look(replicas, func(i mangoreplica.Incarnation) bool {
			o, ok := outages[i]
			return ok && o.Cause.LikelyDown() && !o.Cause.CertainToFail()
		}, now, p.logger)
		states, loading := p.holdings(ctx, replicas, outages, now)
		if !p.settled(name, states, now) {
			continue
		}
		for _, m := range Plan(s.Engine, states) {
			// Copies can wait, while a range without a holder keeps a data centre from serving.
			if m.Reason == ReasonCopy && loading >= max(s.Engine.MaxParallelLoads, 1) {
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
