package mangoplacement

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Sender sends orders to engines.
type Sender interface {
	Order(ctx context.Context, address string, order *mangomessage.Order) (*mangomessage.OrderReply, error)
}

// Source reads the desired state and the reported state of each host, by name. Hosts whose state cannot be read are
// missing from the map.
type Source interface {
	Read(ctx context.Context) (DesiredState, map[string]HostState)
}

// Observer is told what a Placer does. Its methods must not block; OrderAttempted is called concurrently.
type Observer interface {
	// LeaseChecked is called in each round: it tells whether the daemon holds the lease, with which fencing number, and
	// which error the renewal or acquisition gave.
	LeaseChecked(holds bool, fence uint64, err error)
	// OrderAttempted is called after each order with its reply or error. KindNotHolder means that it was not sent.
	OrderAttempted(order Order, reply *mangomessage.OrderReply, err error)
	// OrderDeferred is called in each round for each order that Plan deferred.
	OrderDeferred(order Order)
}

// Placer sends orders to the engines of its data centre while it holds the placement lease.
type Placer struct {
	sender        Sender
	source        Source
	observer      Observer
	lease         *placementLease
	roundInterval time.Duration
	leaseLifetime time.Duration
	orderTimeout  time.Duration
	fencedKinds   map[string]bool
	// mu protects pendingOrders and acceptedCounts while orders are being sent.
	mu sync.Mutex
	// pendingOrders has, by host, the last order that was or may have been accepted and that no report shows yet.
	pendingOrders map[string]pendingOrder
	// acceptedCounts has the number of orders that each host accepted; it is part of the order id, so that a later order
	// gets a new one.
	acceptedCounts map[string]int
}

// pendingOrder is an order that a host accepted or may have accepted. endedAt is the time of its reply or error.
type pendingOrder struct {
	order   *mangomessage.Order
	endedAt time.Time
}

// Option sets a property of a Placer.
type Option func(*Placer)

// WithLeaseTime sets the lifetime of the placement lease; the default is 6 s.
func WithLeaseTime(d time.Duration) Option { return func(p *Placer) { p.leaseLifetime = d } }

// WithOrderTimeout bounds one order; the default is 2 s. It must be well below the lease lifetime, since no order is sent
// that could end in the last quarter of the lease.
func WithOrderTimeout(d time.Duration) Option { return func(p *Placer) { p.orderTimeout = d } }

// WithInterval sets the interval between rounds; the default is 1 s.
func WithInterval(d time.Duration) Option { return func(p *Placer) { p.roundInterval = d } }

// WithFencedKinds names the kinds of hosts that refuse an old fencing number. All others are assumed to ignore it.
func WithFencedKinds(kinds ...string) Option {
	return func(p *Placer) {
		for _, k := range kinds {
			p.fencedKinds[k] = true
		}
	}
}

// WithObserver sets the observer of the placer.
func WithObserver(o Observer) Option { return func(p *Placer) { p.observer = o } }

// New returns a placer for one data centre. The owner is the name of this daemon, which is written to the lease key.
func New(store mangostore.Store, sender Sender, source Source, dataCentre, owner string, opts ...Option) *Placer {
	p := &Placer{
		sender: sender, source: source, observer: noopObserver{}, fencedKinds: map[string]bool{},
		pendingOrders: map[string]pendingOrder{}, acceptedCounts: map[string]int{},
		roundInterval: time.Second, leaseLifetime: 6 * time.Second, orderTimeout: 2 * time.Second,
	}
	for _, o := range opts {
		o(p)
	}
	p.lease = newPlacementLease(store, dataCentre, owner, p.leaseLifetime, p.orderTimeout)
	return p
}

// Run sends orders until the context ends and then releases the lease.
func (p *Placer) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.roundInterval)
	defer ticker.Stop()
	defer func() {
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.orderTimeout)
		defer cancel()
		p.lease.release(releaseCtx)
	}()
	for {
		p.runRound(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// runRound renews or acquires the lease, reads the state and sends the planned orders concurrently, at most one to each
// host. The lease is not renewed while the orders run, so its end and the fencing number stay the same for all of them.
func (p *Placer) runRound(ctx context.Context) {
	leaseCtx, cancel := context.WithTimeout(ctx, p.leaseLifetime/4)
	err := p.lease.renewOrAcquire(leaseCtx)
	cancel()
	p.observer.LeaseChecked(p.lease.leaseID != 0, p.lease.fence, err)
	// A round that starts during shutdown may acquire the lease that another stopping daemon has just released. It sends
	// no orders.
	if p.lease.leaseID == 0 || ctx.Err() != nil {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, p.leaseLifetime/4)
	desired, states := p.source.Read(readCtx)
	cancel()
	if p.fenceSuperseded(states) {
		p.lease.release(ctx)
		return
	}
	states = maps.Clone(states)
	for h, s := range states {
		if carriedOut(s.Report, p.pendingOrders[h].order) {
			delete(p.pendingOrders, h)
		}
		s.OrderedAt = p.pendingOrders[h].endedAt
		states[h] = s
	}
	var group sync.WaitGroup
	for _, o := range Plan(desired, states, time.Now()) {
		if o.Deferred {
			p.observer.OrderDeferred(o)
			continue
		}
		group.Go(func() { p.sendOrder(ctx, o) })
	}
	group.Wait()
}

// carriedOut reports whether the report of an engine shows what the order asked for.
func carriedOut(s *mangomessage.EngineState, order *mangomessage.Order) bool {
	return order != nil && s.GetLoading() == "" && s.GetModel() == order.GetModel() && s.GetVersion() == order.GetVersion() &&
		s.GetFromLayer() == order.GetFromLayer() && s.GetToLayer() == order.GetToLayer() && slices.Equal(s.GetAdapters(), order.GetAdapters())
}

// fenceSuperseded records the highest fencing number that hosts report and reports whether it exceeds that of this
// holder. It comes from a later holder, or from before a restore of the store.
func (p *Placer) fenceSuperseded(states map[string]HostState) bool {
	for _, s := range states {
		p.lease.highestReportedFence = max(p.lease.highestReportedFence, s.Report.GetFencingNumber())
	}
	return p.lease.highestReportedFence > p.lease.fence
}

// sendOrder sends an order unless the lease ends too soon for it or the host may not get orders yet.
func (p *Placer) sendOrder(ctx context.Context, o Order) {
	ctx, cancel := context.WithTimeout(ctx, p.orderTimeout)
	defer cancel()
	o.Order.FencingNumber = p.lease.fence
	p.mu.Lock()
	// An engine carries out each order id once. A host that returned to an earlier state needs the same order again under
	// a new id, whereas an order whose reply was lost is repeated under the same id.
	o.Order.Id += fmt.Sprintf("#%d.%d", p.lease.fence, p.acceptedCounts[o.Host.Name])
	p.mu.Unlock()
	if !p.lease.mayOrder(time.Now(), p.fencedKinds[o.Host.Kind]) {
		p.observer.OrderAttempted(o, nil, &Error{
			Op: "Order", Kind: KindNotHolder,
			Err: errors.New("the lease ends too soon, or the host ignores fencing numbers and may still get old orders"),
		})
		return
	}
	reply, err := p.sender.Order(ctx, o.Host.Address, o.Order)
	if err != nil || reply.GetAccepted() {
		p.mu.Lock()
		p.pendingOrders[o.Host.Name] = pendingOrder{order: o.Order, endedAt: time.Now()}
		if err == nil {
			p.acceptedCounts[o.Host.Name]++
		}
		p.mu.Unlock()
	}
	p.observer.OrderAttempted(o, reply, err)
}

// noopObserver is the default Observer.
type noopObserver struct{}

func (noopObserver) LeaseChecked(bool, uint64, error) {}

func (noopObserver) OrderAttempted(Order, *mangomessage.OrderReply, error) {}

func (noopObserver) OrderDeferred(Order) {}
