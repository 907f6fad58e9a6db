package mangofault

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// dialTimeout bounds the establishment of a connection to the target.
const dialTimeout = 2 * time.Second

// Proxy forwards TCP connections to a target and injects faults; it is safe for concurrent use.
type Proxy struct {
	address string
	target  string
	// toTarget and toCaller limit the bandwidth of each direction over all connections.
	toTarget *rate.Limiter
	toCaller *rate.Limiter
	// goroutines tracks the goroutines of listeners and connections, which Run waits for.
	goroutines sync.WaitGroup

	// newListeners passes the first listener, and each one that is opened after a cut, to Run.
	newListeners chan net.Listener

	mu       sync.Mutex
	hasEnded bool
	// listener is nil while a cut refuses new connections.
	listener net.Listener
	faults   Faults
	// faultsChanged is closed and replaced whenever the faults change.
	faultsChanged chan struct{}
	connections   map[*proxiedConn]struct{}
	accepted      uint64
	dropped       uint64
}

// New returns a proxy that listens on an address; Run forwards its connections to the target.
func New(ctx context.Context, address, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	p := &Proxy{
		address: listener.Addr().String(), target: target, listener: listener, faultsChanged: make(chan struct{}),
		toTarget: rate.NewLimiter(rate.Inf, chunkSize), toCaller: rate.NewLimiter(rate.Inf, chunkSize),
		connections: map[*proxiedConn]struct{}{}, newListeners: make(chan net.Listener, 1),
	}
	p.newListeners <- listener
	return p, nil
}

// Address returns the IP address and port of the listener.
func (p *Proxy) Address() string { return p.address }

// Run forwards connections until the context ends. It then closes all connections, including frozen ones, and waits for
// their goroutines.
func (p *Proxy) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case listener := <-p.newListeners:
			p.goroutines.Go(func() { p.acceptConnections(ctx, listener) })
		case <-ctx.Done():
		}
	}
	p.mu.Lock()
	p.hasEnded = true
	p.closeAll()
	p.mu.Unlock()
	p.goroutines.Wait()
}

// SetFaults replaces the faults. It fails if a cut ends and the proxy cannot listen on its address again.
func (p *Proxy) SetFaults(ctx context.Context, f Faults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Cut {
		p.closeAll()
	} else if p.listener == nil && !p.hasEnded {
		if err := p.listenAgain(ctx); err != nil {
			return err
		}
	}
	if f.Freeze {
		for pc := range p.connections {
			pc.freeze()
		}
	}
	limit := rate.Inf
	if f.Bandwidth > 0 {
		limit = rate.Limit(f.Bandwidth)
	}
	now := time.Now()
	for _, limiter := range []*rate.Limiter{p.toTarget, p.toCaller} {
		limiter.SetLimitAt(now, limit)
		if unused := int(limiter.TokensAt(now)); f.Bandwidth > 0 && unused > 0 {
			limiter.AllowN(now, unused) // Unused limiter tokens would let the first bytes exceed the new limit.
		}
	}
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
	return nil
}

// State returns the current faults and counts.
func (p *Proxy) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{Faults: p.faults, Connections: len(p.connections), Accepted: p.accepted, Dropped: p.dropped}
	for pc := range p.connections {
		if pc.isFrozen() {
			s.Frozen++
		}
	}
	return s
}

// closeAll closes the listener and all connections. The caller holds the lock.
func (p *Proxy) closeAll() {
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for pc := range p.connections {
		pc.cancel()
	}
}

// listenAgain opens the listener again after a cut. The caller holds the lock.
func (p *Proxy) listenAgain(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.address)
	}
	select {
	case p.newListeners <- listener:
		p.listener = listener
		return nil
	case <-ctx.Done():
		_ = listener.Close()
		return ctx.Err()
	}
}

// acceptConnections accepts and serves connections until the listener is closed.
func (p *Proxy) acceptConnections(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serveConnection(ctx, listener, conn.(*net.TCPConn)) })
	}
}

// serveConnection connects to the target and forwards both directions until both have ended or the connection is closed.
func (p *Proxy) serveConnection(ctx context.Context, listener net.Listener, caller *net.TCPConn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		resetConnection(caller)
		return
	}
	target := conn.(*net.TCPConn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pc := &proxiedConn{proxy: p, cancel: cancel, frozen: make(chan struct{})}
	if !p.addConnection(pc, listener) {
		resetConnection(caller)
		resetConnection(target)
		return
	}
	defer p.removeConnection(pc)
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		resetConnection(caller)
		resetConnection(target)
		close(closed)
	})
	var directions sync.WaitGroup
	directions.Go(func() { pc.copyDirection(ctx, caller, target, false) })
	directions.Go(func() { pc.copyDirection(ctx, target, caller, true) })
	directions.Wait()
	if ctx.Err() == nil {
		// Both directions have ended normally. An ordinary close delivers the last bytes, which a reset would discard.
		_ = caller.Close()
		_ = target.Close()
	}
	cancel()
	<-closed
}

// addConnection registers a connection, or returns false if its listener has been closed since it was accepted.
func (p *Proxy) addConnection(pc *proxiedConn, listener net.Listener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != listener {
		return false
	}
	p.accepted++
	p.connections[pc] = struct{}{}
	return true
}

func (p *Proxy) removeConnection(pc *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, pc)
}

// resetConnection closes a connection with a TCP reset, which discards unsent bytes.
func resetConnection(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
