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

// Source returns the desired and the present state; states that it cannot read are missing.
type Source interface {
	Read(ctx context.Context) (DesiredState, map[string]HostState)
}

// Observer receives what a placer does. It never blocks.
type Observer interface {
	// Held reports whether the daemon holds the lease and with which number; err says why not.
	LeaseChecked(holds bool, number uint64, err error)
	OrderAttempted(order Order, reply *mangomessage.OrderReply, err error)
	// Deferred is called in each round for an order that is held back.
	OrderDeferred(order Order)
}

// Placer gives orders while it holds the lease of its data centre.
type Placer struct {
	sender   Sender
	source   Source
	observer Observer
	tenure   *tenure
	interval time.Duration
	lifetime time.Duration
	timeout  time.Duration
	fenced   map[string]bool
	// pending has the last orders that hosts took or may have taken and whose effect was not yet reported.
	mu      sync.Mutex
	pending map[string]sent
	// taken counts the orders that hosts took, which makes the ids of later orders differ from theirs.
	taken map[string]int
}

// sent is an order with the time at which its reply came or its deadline passed.
type sent struct {
	order *mangomessage.Order
	at    time.Time
}

// Option sets a property of a Placer.
type Option func(*Placer)

// WithLeaseTime sets the lifetime of the lease; the default is 6 s.
func WithLeaseTime(d time.Duration) Option { return func(p *Placer) { p.lifetime = d } }

// WithOrderTimeout sets the longest time of an order; the default is 2 s. It must be well below the lease time.
func WithOrderTimeout(d time.Duration) Option { return func(p *Placer) { p.timeout = d } }

// WithInterval sets the time between rounds; the default is 1 s.
func WithInterval(d time.Duration) Option { return func(p *Placer) { p.interval = d } }

// WithFencedKinds names the kinds of hosts that refuse an old fencing number; all others are taken to ignore it.
func WithFencedKinds(kinds ...string) Option {
	return func(p *Placer) {
		for _, k := range kinds {
			p.fenced[k] = true
		}
	}
}

// WithObserver sets the receiver of what the placer does.
func WithObserver(o Observer) Option { return func(p *Placer) { p.observer = o } }

// New returns a placer of a data centre for the daemon that owner names.
func New(store mangostore.Store, sender Sender, source Source, dataCentre, owner string, opts ...Option) *Placer {
	p := &Placer{
		sender: sender, source: source, observer: ignore{}, fenced: map[string]bool{}, pending: map[string]sent{}, taken: map[string]int{},
		interval: time.Second, lifetime: 6 * time.Second, timeout: 2 * time.Second,
	}
	for _, o := range opts {
		o(p)
	}
	p.tenure = newTenure(store, dataCentre, owner, p.lifetime, p.timeout)
	return p
}

// Run gives orders until the context ends and then releases the lease.
func (p *Placer) Run(ctx context.Context) error {
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	defer func() {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.timeout)
		defer cancel()
		p.tenure.release(last)
	}()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// round keeps the lease, reads the state and gives the orders that it calls for, to several hosts at a time and one to
// each. The number and the end of the lease are taken before the orders start and do not change while they run.
func (p *Placer) round(ctx context.Context) {
	keeping, cancel := context.WithTimeout(ctx, p.lifetime/4)
	err := p.tenure.keep(keeping)
	cancel()
	p.observer.LeaseChecked(p.tenure.lease != 0, p.tenure.fence, err)
	// A round that begins at the moment of the stop may get the lease that another stopping daemon has just released; no
	// orders are given under it.
	if p.tenure.lease == 0 || ctx.Err() != nil {
		return
	}
	reading, cancel := context.WithTimeout(ctx, p.lifetime/4)
	desired, states := p.source.Read(reading)
	cancel()
	if p.outranked(states) {
		p.tenure.release(ctx)
		return
	}
	states = maps.Clone(states)
	for h, s := range states {
		if carriedOut(s.Report, p.pending[h].order) {
			delete(p.pending, h)
		}
		s.OrderedAt = p.pending[h].at
		states[h] = s
	}
	var group sync.WaitGroup
	for _, o := range Plan(desired, states, time.Now()) {
		if o.Deferred {
			p.observer.OrderDeferred(o)
			continue
		}
		group.Go(func() { p.give(ctx, o) })
	}
	group.Wait()
}

// carriedOut reports whether an engine holds what an order asks for.
func carriedOut(s *mangomessage.EngineState, order *mangomessage.Order) bool {
	return order != nil && s.GetLoading() == "" && s.GetModel() == order.GetModel() && s.GetVersion() == order.GetVersion() &&
		s.GetFromLayer() == order.GetFromLayer() && s.GetToLayer() == order.GetToLayer() && slices.Equal(s.GetAdapters(), order.GetAdapters())
}

// outranked reports whether hosts have seen a higher number, from a later holder or before a restore of the store.
func (p *Placer) outranked(states map[string]HostState) bool {
	for _, s := range states {
		p.tenure.floor = max(p.tenure.floor, s.Report.GetFencingNumber())
	}
	return p.tenure.floor > p.tenure.fence
}

// give sends an order if it would end before the holder has to stop.
func (p *Placer) give(ctx context.Context, o Order) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	o.Order.FencingNumber = p.tenure.fence
	p.mu.Lock()
	// An engine carries out an id once. A host that came back to an earlier state needs a new id for the same order,
	// while an order whose reply was lost is repeated under its own.
	o.Order.Id += fmt.Sprintf("#%d.%d", p.tenure.fence, p.taken[o.Host.Name])
	p.mu.Unlock()
	if !p.tenure.allows(time.Now(), p.fenced[o.Host.Kind]) {
		p.observer.OrderAttempted(o, nil, &Error{Op: "Order", Kind: KindNotHolder, Err: errors.New("not the time for this order")})
		return
	}
	reply, err := p.sender.Order(ctx, o.Host.Address, o.Order)
	if err != nil || reply.GetAccepted() {
		p.mu.Lock()
		p.pending[o.Host.Name] = sent{order: o.Order, at: time.Now()}
		if err == nil {
			p.taken[o.Host.Name]++
		}
		p.mu.Unlock()
	}
	p.observer.OrderAttempted(o, reply, err)
}

type ignore struct{}

func (ignore) LeaseChecked(bool, uint64, error) {}

func (ignore) OrderAttempted(Order, *mangomessage.OrderReply, error) {}

func (ignore) OrderDeferred(Order) {}
