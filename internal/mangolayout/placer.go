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

// ReplicaClient sends orders to replicas and reads their reports.
type ReplicaClient interface {
	// Place sends an order and returns the answer of the replica.
	Place(ctx context.Context, o Order) (Outcome, error)
	// Report returns the layers of a replica and the number of orders that it has accepted.
	Report(ctx context.Context, r *mangoreplica.Replica) (Report, error)
	// Reach returns an error if the replica does not accept a connection within the timeout.
	Reach(ctx context.Context, r *mangoreplica.Replica, timeout time.Duration) error
}

// Lease tells whether this daemon may send orders, and under which fencing number.
type Lease interface {
	Holds() (fence uint64, ok bool)
	// Renounce gives the lease up after a replica has seen a higher fencing number.
	Renounce(fence uint64)
}

// State returns the latest view of the store.
type State interface {
	View() *mangostate.View
}

// Observer counts orders by reason and outcome. It must not block.
type Observer func(reason, outcome string)

const (
	// planInterval is the longest time between two plans; a change of the state starts one earlier.
	planInterval = 200 * time.Millisecond
	// startupQuiet is how long the number of replicas must stay the same before a service without any layers is planned,
	// and maxStartupWait bounds that wait. Replicas announce themselves over the first one or two seconds.
	startupQuiet   = time.Second
	maxStartupWait = 4 * time.Second
)

// pendingOrder is an order that was sent and whose layers the entry of the replica in the store does not show yet.
type pendingOrder struct {
	layers mangoreplica.LayerRange
	// paused means that the replica keeps its layers and gets no orders until then: it refused or missed the last order, or
	// is carrying out one that this daemon does not know.
	paused bool
	until  time.Time
}

// Placer plans the layers of all split services, and sends the orders while its daemon holds the lease.
type Placer struct {
	state   State
	lease   Lease
	client  ReplicaClient
	health  *mangoreplica.HealthTracker
	changed <-chan struct{}
	// replan is signalled when an order can be sent at once that could not be sent before.
	replan        chan struct{}
	logger        logrus.FieldLogger
	observe       Observer
	onLayerReport func(s mangoreplica.LayerReport)
	onOrder       func(g GivenOrder)

	mu            sync.Mutex
	pendingOrders map[mangoreplica.Incarnation]pendingOrder
	// acceptedOrders has the number of orders that each replica has accepted, where known.
	acceptedOrders map[mangoreplica.Incarnation]uint64
	partitions     *partitionDetector
	// lossChecks has the latest connection check of each replica that seems lost.
	lossChecks map[mangoreplica.Incarnation]lossCheck
	// lastSurvey is when the last survey ended; zero if there was none since the store became unreachable or since this
	// daemon got the lease.
	lastSurvey time.Time
	surveying  bool
	// startups has the services whose replicas hold no layers yet.
	startups map[string]startup
	// running counts the goroutines of orders, surveys and checks.
	running sync.WaitGroup
}

// startup tracks how many replicas of a service have announced themselves before the first plan.
type startup struct {
	replicas                  int
	unchangedSince, firstSeen time.Time
}

// Option sets a property of a Placer.
type Option func(*Placer)

// WithLogger sets the logger of placement decisions.
func WithLogger(l logrus.FieldLogger) Option { return func(p *Placer) { p.logger = l } }

// WithObserver sets the function that counts orders.
func WithObserver(o Observer) Option { return func(p *Placer) { p.observe = o } }

// WithChangeSignal sets a channel that is signalled after changes of the state; each signal starts a plan.
func WithChangeSignal(s <-chan struct{}) Option { return func(p *Placer) { p.changed = s } }

// WithOrderHandler sets the function that is called with each order that was sent. It must not block.
func WithOrderHandler(f func(g GivenOrder)) Option { return func(p *Placer) { p.onOrder = f } }

// WithLayerReportHandler sets the function that is called with layers that a replica itself reports. It must not block.
func WithLayerReportHandler(f func(s mangoreplica.LayerReport)) Option {
	return func(p *Placer) { p.onLayerReport = f }
}

// New returns a Placer. The health tracker knows of lost replicas before their entries disappear from the store.
func New(state State, lease Lease, client ReplicaClient, health *mangoreplica.HealthTracker, opts ...Option) *Placer {
	p := &Placer{
		state: state, lease: lease, client: client, health: health, logger: logrus.StandardLogger(),
		observe: func(string, string) {}, onLayerReport: func(mangoreplica.LayerReport) {}, onOrder: func(GivenOrder) {}, pendingOrders: map[mangoreplica.Incarnation]pendingOrder{},
		replan: make(chan struct{}, 1), acceptedOrders: map[mangoreplica.Incarnation]uint64{}, startups: map[string]startup{},
		lossChecks: map[mangoreplica.Incarnation]lossCheck{}, partitions: newPartitionDetector(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Run plans and sends orders until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	defer p.running.Wait()
	// restoredUntil is the end of the last grace period after a restore of the store.
	var restoredUntil time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-p.changed:
		case <-p.replan:
		}
		fence, ok := p.lease.Holds()
		if !ok {
			p.reset()
			continue
		}
		v := p.state.View()
		if !v.RestoredUntil.Equal(restoredUntil) {
			// The entries of the copy have replaced what the last survey found.
			restoredUntil = v.RestoredUntil
			p.endSurveys()
		}
		if v.Reachable && !time.Now().Before(restoredUntil) {
			p.endSurveys()
		} else if !p.layersKnown(ctx) {
			continue
		}
		for _, o := range p.planOrders(ctx, fence, time.Now()) {
			p.running.Go(func() { p.carryOut(ctx, o) })
		}
	}
}

// RecordOrder notes an order that another daemon has sent. It never blocks.
func (p *Placer) RecordOrder(g GivenOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingOrders[g.Replica] = pendingOrder{layers: g.Layers, until: g.Until}
}

// reset drops what goes stale while another daemon holds the lease: the counts of accepted orders, the detected partitions
// and the survey. Pending orders stay until they expire, since RecordOrder adds those of the other daemon.
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

// plannedOrder is an order with the model that it is for and its reason.
type plannedOrder struct {
	Order
	engine *mangoroute.Engine
	reason Reason
}

// planOrders returns the orders to send now and records them as pending.
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
	var services []string
	for name, s := range view.Table.Services() {
		if !s.Split() {
			continue
		}
		services = append(services, name)
		replicas := view.Fleet.ByService(name)
		outages := p.health.Outages(now)
		p.partitions.observe(replicas, func(i mangoreplica.Incarnation) bool {
			o, ok := outages[i]
			return ok && o.Cause.LikelyDown() && !o.Cause.CertainToFail()
		}, now, p.logger)
		states, loading := p.replicaStates(ctx, s.Engine, replicas, outages, now)
		if !p.readyToPlan(name, states, now) {
			continue
		}
		for _, m := range Plan(s.Engine, states) {
			// More loads than MaxParallelLoads slow each other down, so copies wait. A layer without a holder cannot wait: its
			// data centre serves no requests until then.
			if m.Reason == ReasonCopy && loading >= max(s.Engine.MaxParallelLoads, 1) {
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
	p.checkPartitions(ctx, view.Fleet, services, now)
	return orders
}
