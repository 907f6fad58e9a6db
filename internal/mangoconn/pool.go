package mangoconn

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxIdle bounds the idle connections of a daemon: four requests a second whose connections are idle for two seconds each.
	maxIdle = 8
	// keptUserTimeout takes the place of tcpUserTimeout on a kept connection, whose path may have been lost while it was idle.
	// The kernel resends a lost packet after 200 ms at most, so a single loss does not end the connection.
	keptUserTimeout = 300 * time.Millisecond
)

// ErrNoneIdle means that there is no idle connection to the replica.
var ErrNoneIdle = errors.New("there is no idle connection to the replica")

// Purpose is the reason for which a connection is opened, as it appears in metrics.
type Purpose string

const (
	// PurposeRequest is a request of a caller.
	PurposeRequest Purpose = "Request"
	// PurposeCall is an order to a replica, or a request for its report or health.
	PurposeCall Purpose = "Call"
	// PurposeCheck is a check whether connections can be made.
	PurposeCheck Purpose = "Check"
)

// PoolObserver records metrics of connections. Its methods never block.
type PoolObserver interface {
	// ConnectionOpened counts a new connection.
	ConnectionOpened(p Purpose)
	// ConnectionReused counts a request that is sent over an idle connection.
	ConnectionReused()
	// IdleConnectionClosed counts an idle connection that was closed without another request.
	IdleConnectionClosed(e IdleEnd)
}

// Pool keeps connections to replicas between requests and opens new ones with a dialer. It owns the idle connections; a connection
// that is taken belongs to its request until it is put back or closed. It is safe for concurrent use.
type Pool struct {
	*Dialer
	observer PoolObserver
	usable   func(Endpoint) bool
	quota    func(Endpoint) int

	mu     sync.Mutex
	closed bool
	// idle has the idle connections to each endpoint, the oldest first.
	idle map[Endpoint][]*idleConn
	// watchers counts the goroutines that watch idle connections.
	watchers sync.WaitGroup
}

// PoolOption sets a property of a Pool.
type PoolOption func(*Pool)

// WithPoolObserver sets the receiver of metrics.
func WithPoolObserver(o PoolObserver) PoolOption { return func(p *Pool) { p.observer = o } }

// WithUsable sets the function that reports whether requests may go to a replica. Idle connections to others are closed, within
// usablePoll, and never used. By default all may.
func WithUsable(f func(Endpoint) bool) PoolOption { return func(p *Pool) { p.usable = f } }

// WithQuota sets the function that returns how many idle connections may be kept to a replica. The default is
// maxIdlePerReplica.
func WithQuota(f func(Endpoint) int) PoolOption { return func(p *Pool) { p.quota = f } }

// NewPool returns a pool without idle connections.
func NewPool(dialer *Dialer, opts ...PoolOption) *Pool {
	p := &Pool{
		Dialer: dialer, observer: noPoolObserver{}, usable: func(Endpoint) bool { return true },
		quota: func(Endpoint) int { return maxIdlePerReplica }, idle: map[Endpoint][]*idleConn{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Reach is Dialer.Reach, and counts the connection if one is made.
func (p *Pool) Reach(ctx context.Context, address string, timeout time.Duration) error {
	err := p.Dialer.Reach(ctx, address, timeout)
	if err == nil {
		p.observer.ConnectionOpened(PurposeCheck)
	}
	return err
}

// Exchange is Dialer.Exchange, and counts the connection. It is a new one and is closed after the answer.
func (p *Pool) Exchange(
	ctx context.Context, address string, request *http.Request, connectTimeout time.Duration, waiter *ReadWaiter,
) (*Response, error) {
	conn, err := p.connect(ctx, address, connectTimeout)
	if err != nil {
		return nil, err
	}
	p.observer.ConnectionOpened(PurposeCall)
	return exchangeOn(ctx, conn, request, waiter)
}

// ExchangeNew is Exchange over a new connection, which may be kept if Response.AllowReuse is called.
func (p *Pool) ExchangeNew(
	ctx context.Context, e Endpoint, request *http.Request, connectTimeout time.Duration, waiter *ReadWaiter,
) (*Response, error) {
	begun := time.Now()
	conn, err := p.connect(ctx, e.Address, connectTimeout)
	if err != nil {
		return nil, err
	}
	took := time.Since(begun)
	p.observer.ConnectionOpened(PurposeRequest)
	response, err := p.exchangeKeepable(ctx, e, conn, request, waiter)
	if err != nil {
		return nil, err
	}
	response.ConnectTime = took
	return response, nil
}

// ExchangeKept is Exchange over an idle connection, and returns for how long it was idle. If there is none, the error wraps
// ErrNoneIdle, and nothing was sent. After any other error the request may have arrived. The response may be a late one to an
// earlier request: the caller has to compare the ids.
func (p *Pool) ExchangeKept(
	ctx context.Context, e Endpoint, request *http.Request, waiter *ReadWaiter,
) (response *Response, idle time.Duration, err error) {
	c := p.take(e)
	if c == nil {
		return nil, 0, &Error{Op: "ExchangeKept", Kind: KindUnsent, Err: ErrNoneIdle}
	}
	p.observer.ConnectionReused()
	idle = time.Since(c.since)
	response, err = p.exchangeKeepable(ctx, e, c.Conn, request, waiter)
	return response, idle, err
}

// exchangeKeepable sends a request without Connection: close if the connection may be kept after it.
func (p *Pool) exchangeKeepable(
	ctx context.Context, e Endpoint, conn net.Conn, request *http.Request, waiter *ReadWaiter,
) (*Response, error) {
	if !p.keeps(e) {
		return exchangeOn(ctx, conn, request, waiter)
	}
	keepable := *request
	keepable.Close = false
	response, err := exchangeOn(ctx, conn, &keepable, waiter)
	if err != nil {
		return nil, err
	}
	response.keep = func(idle time.Duration) { p.put(e, conn, idle) }
	return response, nil
}

// keeps reports whether a connection to a replica would be kept now.
func (p *Pool) keeps(e Endpoint) bool {
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	return !closed && p.quota(e) > 0 && p.usable(e)
}

// HasIdle reports whether there is an idle connection to a replica.
func (p *Pool) HasIdle(e Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[e]) > 0
}

// put adds an idle connection, which expires after the time idle. The oldest ones are closed if there are too many.
func (p *Pool) put(e Endpoint, conn net.Conn, idle time.Duration) {
	quota := p.quota(e)
	if idle <= 0 || quota <= 0 || !p.usable(e) {
		_ = conn.Close()
		return
	}
	now := time.Now()
	c := &idleConn{Conn: conn, endpoint: e, since: now, expires: now.Add(idle), ended: make(chan IdleEnd, 1)}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		_ = conn.Close()
		return
	}
	evicted := p.evictLocked(e, quota)
	p.idle[e] = append(p.idle[e], c)
	p.watchers.Go(func() { p.watch(c) })
	p.mu.Unlock()
	p.closeAll(evicted, IdleEvicted)
}

// evictLocked removes the oldest connections that exceed the limits once another one is added, and returns them. The caller holds
// p.mu.
func (p *Pool) evictLocked(e Endpoint, quota int) []*idleConn {
	var evicted []*idleConn
	for len(p.idle[e]) >= quota {
		evicted = append(evicted, p.idle[e][0])
		p.removeLocked(p.idle[e][0])
	}
	all := p.allLocked()
	slices.SortFunc(all, func(a, b *idleConn) int { return a.since.Compare(b.since) })
	for _, c := range all[:max(0, len(all)-maxIdle+1)] {
		evicted = append(evicted, c)
		p.removeLocked(c)
	}
	return evicted
}

// allLocked returns all idle connections. The caller holds p.mu.
func (p *Pool) allLocked() []*idleConn {
	var all []*idleConn
	for _, list := range p.idle {
		all = append(all, list...)
	}
	return all
}

// removeLocked removes an idle connection and reports whether it was there. The caller holds p.mu.
func (p *Pool) removeLocked(c *idleConn) bool {
	list := p.idle[c.endpoint]
	i := slices.Index(list, c)
	if i < 0 {
		return false
	}
	if list = slices.Delete(list, i, i+1); len(list) == 0 {
		delete(p.idle, c.endpoint)
		return true
	}
	p.idle[c.endpoint] = list
	return true
}

// watch watches an idle connection and closes it at its end, unless it was taken or closed before.
func (p *Pool) watch(c *idleConn) {
	end := c.watch(p.usable)
	p.mu.Lock()
	owned := p.removeLocked(c)
	p.mu.Unlock()
	if owned {
		_ = c.Close()
		p.observer.IdleConnectionClosed(end)
	}
	c.ended <- end
}

// take returns the youngest idle connection to a replica that may be used; nil if there is none. Those that may not are closed.
// The watcher checks the expiry and the replica once more before it ends.
func (p *Pool) take(e Endpoint) *idleConn {
	for {
		c := p.pop(e)
		if c == nil {
			return nil
		}
		end := c.interrupt()
		switch {
		case end != idleInterrupted:
		case !c.prepare():
			end = IdleEnded
		default:
			return c
		}
		_ = c.Close()
		p.observer.IdleConnectionClosed(end)
	}
}

// pop removes the youngest idle connection to a replica.
func (p *Pool) pop(e Endpoint) *idleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[e]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.removeLocked(c)
	return c
}

// closeAll closes connections that have been removed.
func (p *Pool) closeAll(list []*idleConn, reason IdleEnd) {
	for _, c := range list {
		_ = c.Close()
		p.observer.IdleConnectionClosed(reason)
	}
}

// CloseIdle closes all idle connections and waits until none is watched. No connection is kept from then on.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	p.closed = true
	all := p.allLocked()
	clear(p.idle)
	p.mu.Unlock()
	p.closeAll(all, IdleStopping)
	p.watchers.Wait()
}

type noPoolObserver struct{}

func (noPoolObserver) ConnectionOpened(Purpose) {}

func (noPoolObserver) ConnectionReused() {}

func (noPoolObserver) IdleConnectionClosed(IdleEnd) {}
