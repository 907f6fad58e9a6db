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
	// planInterval is the time between two plans; a change of the state comes before it.
	planInterval = 200 * time.Millisecond
	// startupQuiet is the time without new replicas after which a fleet that holds no layers is planned, and settleMax the
	// longest wait for it. Replicas announce themselves over the first second or two.
	startupQuiet   = time.Second
	maxStartupWait = 4 * time.Second
)

// pendingOrder is an order that was given and is not seen in the entry yet.
type pendingOrder struct {
	layers mangoreplica.Range
	// paused says that the replica keeps what it has for a while, since it refused an order.
	paused bool
	until  time.Time
}

// Placer gives orders while its daemon holds the lease.
type Placer struct {
	state      State
	lease      Lease
	client     ReplicaClient
	board      *mangoreplica.Board
	changed    <-chan struct{}
	logger     logrus.FieldLogger
	observe    Observer
	onSighting func(s mangoreplica.Sighting)
	onOrder    func(g GivenOrder)

	mu            sync.Mutex
	pendingOrders map[mangoreplica.Incarnation]pendingOrder
	// acceptedOrders has the number of accepted acceptedOrders of replicas, as far as is known.
	acceptedOrders map[mangoreplica.Incarnation]uint64
	partitions     *partitionDetector
	// lossChecks has what was found out about replicas that seem to be lost.
	lossChecks map[mangoreplica.Incarnation]lossCheck
	// lastSurvey is the time of the last survey; zero if there was none since this daemon places layers without the store.
	lastSurvey time.Time
	surveying  bool
	// startups is the number of replicas of a service that holds no layers, since when and from when on.
	startups map[string]startup
	// running are the goroutines of orders, surveys and checks.
	running sync.WaitGroup
}

type startup struct {
	replicas                  int
	unchangedSince, firstSeen time.Time
}

// Option sets a property of a Placer.
type Option func(*Placer)

// WithLogger sets the logger of placement decisions.
func WithLogger(l logrus.FieldLogger) Option { return func(p *Placer) { p.logger = l } }

// WithObserver sets the receiver of counts.
func WithObserver(o Observer) Option { return func(p *Placer) { p.observe = o } }

// WithChangeSignal sets the channel that is signalled after changes of the state.
func WithChangeSignal(s <-chan struct{}) Option { return func(p *Placer) { p.changed = s } }

// WithOrderHandler sets the receiver of orders that were given. It must not block.
func WithOrderHandler(f func(g GivenOrder)) Option { return func(p *Placer) { p.onOrder = f } }

// WithSightingHandler sets the receiver of what replicas say of their layers after an order. It must not block.
func WithSightingHandler(f func(s mangoreplica.Sighting)) Option {
	return func(p *Placer) { p.onSighting = f }
}

// New returns a placer. The board tells which replicas are lost before their entries go away.
func New(state State, tenure Lease, engines ReplicaClient, board *mangoreplica.Board, opts ...Option) *Placer {
	p := &Placer{
		state: state, lease: tenure, client: engines, board: board, logger: logrus.StandardLogger(),
		observe: func(string, string) {}, onSighting: func(mangoreplica.Sighting) {}, onOrder: func(GivenOrder) {}, pendingOrders: map[mangoreplica.Incarnation]pendingOrder{},
		acceptedOrders: map[mangoreplica.Incarnation]uint64{}, startups: map[string]startup{},
		lossChecks: map[mangoreplica.Incarnation]lossCheck{}, partitions: newPartitionDetector(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Run plans and gives orders until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	defer p.running.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-p.changed:
		}
		fence, ok := p.lease.Holds()
		if !ok {
			p.reset()
			continue
		}
		if p.state.View().Reachable {
			p.endSurveys()
		} else if !p.layersKnown(ctx) {
			continue
		}
		for _, o := range p.planOrders(ctx, fence, time.Now()) {
			p.running.Go(func() { p.carryOut(ctx, o) })
		}
	}
}

// RecordOrder takes an order that another daemon has given. It never blocks.
func (p *Placer) RecordOrder(g GivenOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingOrders[g.Replica] = pendingOrder{layers: g.Layers, until: g.Until}
}

// reset drops the numbers of orders, as another daemon may give some now; the orders themselves it tells.
func (p *Placer) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i, o := range p.pendingOrders {
		if !now.Before(o.until) {
			delete(p.pendingOrders, i)
		}
	}
	clear(p.acceptedOrders)
	p.partitions = newPartitionDetector()
	p.lastSurvey = time.Time{}
}

// plannedOrder is an order with what it is for.
type plannedOrder struct {
	Order
	engine *mangoroute.Engine
	reason Reason
}

// planOrders returns the orders to give now and notes them as pending.
func (p *Placer) planOrders(ctx context.Context, fence uint64, now time.Time) []plannedOrder {
	view := p.state.View()
	if view.Table == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLossChecks(now)
	p.partitions.prune(view.Fleet)
	var orders []plannedOrder
	var models []string
	for name, s := range view.Table.Services() {
		if !s.Split() {
			continue
		}
		models = append(models, name)
		replicas := view.Fleet.Of(name)
		outages := p.board.Outages(now)
		p.partitions.observe(replicas, func(i mangoreplica.Incarnation) bool {
			o, ok := outages[i]
			return ok && o.Cause.Lost() && !o.Cause.Certain()
		}, now, p.logger)
		states, loading := p.replicaStates(ctx, replicas, outages, now)
		if !p.readyToPlan(name, states, now) {
			continue
		}
		for _, m := range Plan(s.Engine, states) {
			// Copies can wait, while a range without a holder keeps a data centre from serving.
			if m.Reason == ReasonCopy && loading >= max(s.Engine.LoadsAtOnce, 1) {
				continue
			}
			loading++
			i := m.Replica.Incarnation()
			p.pendingOrders[i] = pendingOrder{layers: m.Layers, until: now.Add(orderTimeout + resendAfter)}
			orders = append(orders, plannedOrder{
				Order:  Order{Replica: m.Replica, Layers: m.Layers, Fence: fence, Urgent: m.Urgent},
				engine: s.Engine, reason: m.Reason,
			})
		}
	}
	p.checkPartitions(ctx, view.Fleet, models, now)
	return orders
}
