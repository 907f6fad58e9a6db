package mangofault

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// dialTimeout bounds a connection to the target.
const dialTimeout = 2 * time.Second

// Proxy passes connections on to a target; it is safe for concurrent use.
type Proxy struct {
	address  string
	target   string
	toTarget *rate.Limiter
	toCaller *rate.Limiter
	// work counts the goroutines of listeners and connections.
	work sync.WaitGroup

	// listeners hands the listener that opens after a cut to Run.
	listeners chan net.Listener

	mu       sync.Mutex
	ended    bool
	listener net.Listener
	faults   Faults
	changed  chan struct{}
	links    map[*link]struct{}
	accepted uint64
	dropped  uint64
}

// New listens on an address; connections are passed on once Run is called.
func New(ctx context.Context, address, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	p := &Proxy{
		address: listener.Addr().String(), target: target, listener: listener, changed: make(chan struct{}),
		toTarget: rate.NewLimiter(rate.Inf, chunkSize), toCaller: rate.NewLimiter(rate.Inf, chunkSize),
		links: map[*link]struct{}{}, listeners: make(chan net.Listener, 1),
	}
	p.listeners <- listener
	return p, nil
}

// Address returns the IP address and port of the listener.
func (p *Proxy) Address() string { return p.address }

// Run passes connections on until the context ends, then closes all connections, also frozen ones.
func (p *Proxy) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case listener := <-p.listeners:
			p.work.Go(func() { p.accept(ctx, listener) })
		case <-ctx.Done():
		}
	}
	p.mu.Lock()
	p.ended = true
	p.closeAll()
	p.mu.Unlock()
	p.work.Wait()
}

// SetFaults replaces the faults. It fails when the address cannot be listened on again after a cut.
func (p *Proxy) SetFaults(ctx context.Context, f Faults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Cut {
		p.closeAll()
	} else if p.listener == nil && !p.ended {
		if err := p.reopen(ctx); err != nil {
			return err
		}
	}
	if f.Freeze {
		for l := range p.links {
			l.freeze()
		}
	}
	limit := rate.Inf
	if f.Bandwidth > 0 {
		limit = rate.Limit(f.Bandwidth)
	}
	now := time.Now()
	for _, limiter := range []*rate.Limiter{p.toTarget, p.toCaller} {
		limiter.SetLimitAt(now, limit)
		if spare := int(limiter.TokensAt(now)); f.Bandwidth > 0 && spare > 0 {
			limiter.AllowN(now, spare) // Unused bandwidth of before would let the first bytes pass at full speed.
		}
	}
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// State returns the faults and counts.
func (p *Proxy) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{Faults: p.faults, Connections: len(p.links), Accepted: p.accepted, Dropped: p.dropped}
	for l := range p.links {
		if l.isFrozen() {
			s.Frozen++
		}
	}
	return s
}

// closeAll closes the listener and all connections; the lock is held.
func (p *Proxy) closeAll() {
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for l := range p.links {
		l.cancel()
	}
}

// reopen listens again after a cut; the lock is held.
func (p *Proxy) reopen(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.address)
	}
	select {
	case p.listeners <- listener:
		p.listener = listener
		return nil
	case <-ctx.Done():
		_ = listener.Close()
		return ctx.Err()
	}
}

// accept passes connections on until the listener closes.
func (p *Proxy) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.work.Go(func() { p.pass(ctx, listener, conn.(*net.TCPConn)) })
	}
}

// pass connects to the target and copies both directions until both have ended or the link is closed.
func (p *Proxy) pass(ctx context.Context, listener net.Listener, caller *net.TCPConn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	target := conn.(*net.TCPConn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{proxy: p, cancel: cancel, frozen: make(chan struct{})}
	if !p.add(l, listener) {
		reset(caller)
		reset(target)
		return
	}
	defer p.remove(l)
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		reset(caller)
		reset(target)
		close(closed)
	})
	var directions sync.WaitGroup
	directions.Go(func() { l.copy(ctx, caller, target, false) })
	directions.Go(func() { l.copy(ctx, target, caller, true) })
	directions.Wait()
	if ctx.Err() == nil {
		// Both directions ended by themselves; a plain close lets the last bytes arrive.
		_ = caller.Close()
		_ = target.Close()
	}
	cancel()
	<-closed
}

// add registers a link unless a cut closed its listener in the meantime.
func (p *Proxy) add(l *link, listener net.Listener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != listener {
		return false
	}
	p.accepted++
	p.links[l] = struct{}{}
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// reset closes a connection without waiting for its unsent bytes.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
