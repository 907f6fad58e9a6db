package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// silentTime is the time after which the connections that a cut has made silent are reset, as the keep-alive probes of a daemon or the
// end of its patience would do.
const silentTime = 2 * time.Second

// gate cuts listeners off: while it is closed, nothing passes on their connections, and attempts to connect get no answer. Connections from
// before the end of a cut stay dead after it.
type gate struct {
	mu        sync.Mutex
	closed    bool
	changed   chan struct{}
	listeners map[*gatedListener]bool
	conns     map[*gatedConn]bool
}

func newGate() *gate {
	return &gate{changed: make(chan struct{}), listeners: map[*gatedListener]bool{}, conns: map[*gatedConn]bool{}}
}

// listen opens a listener on a free port of loopback behind the gate.
func (g *gate) listen() (net.Listener, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	gated := &gatedListener{TCPListener: l, gate: g}
	g.mu.Lock()
	g.listeners[gated] = true
	g.mu.Unlock()
	return gated, nil
}

// cut closes the gate for a time.
func (g *gate) cut(d time.Duration) error {
	g.mu.Lock()
	g.closed = true
	g.signal()
	var failed error
	for l := range g.listeners {
		failed = errors.Join(failed, l.block())
	}
	g.mu.Unlock()
	time.Sleep(min(silentTime, d))
	g.resetConns()
	time.Sleep(d - min(silentTime, d))
	g.mu.Lock()
	for l := range g.listeners {
		failed = errors.Join(failed, l.unblock())
	}
	g.closed = false
	g.signal()
	g.mu.Unlock()
	return failed
}

// signal wakes all that wait for a change. The caller holds g.mu.
func (g *gate) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// isClosed reports whether the gate is closed, with a channel that is closed at the next change.
func (g *gate) isClosed() (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed, g.changed
}

// await waits until the gate is open.
func (g *gate) await() {
	for {
		closed, changed := g.isClosed()
		if !closed {
			return
		}
		<-changed
	}
}

// resetConns resets all connections.
func (g *gate) resetConns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
	clear(g.conns)
}

// gatedListener is a listener behind a gate.
type gatedListener struct {
	*net.TCPListener
	gate *gate
	// filler are connections that fill the queue of the listener during a cut, so that the kernel drops further attempts to connect.
	filler []net.Conn
}

// setBacklog sets the length of the queue of connections that wait to be accepted.
func (l *gatedListener) setBacklog(n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	return errors.Join(err, listenErr)
}

// block makes the kernel drop attempts to connect. The caller holds the gate's lock.
func (l *gatedListener) block() error {
	if err := errors.Join(l.SetDeadline(time.Now()), l.setBacklog(0)); err != nil {
		return err
	}
	for range 3 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond) //nolint:noctx // It has a timeout.
		if err != nil {
			// The queue is full.
			return nil
		}
		l.filler = append(l.filler, c)
	}
	return nil
}

// unblock ends block. The caller holds the gate's lock.
func (l *gatedListener) unblock() error {
	for _, c := range l.filler {
		_ = c.Close()
	}
	l.filler = nil
	return errors.Join(l.setBacklog(128), l.SetDeadline(time.Time{}))
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		l.gate.await()
		conn, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(time.Millisecond)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &gatedConn{TCPConn: conn, gate: l.gate}
		l.gate.mu.Lock()
		l.gate.conns[c] = true
		l.gate.mu.Unlock()
		return c, nil
	}
}

// gatedConn is a connection behind a gate.
type gatedConn struct {
	*net.TCPConn
	gate *gate
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.gate.await()
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.gate.await()
	return c.TCPConn.Write(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.TCPConn.Close()
}

// Close implements net.Listener.
func (l *gatedListener) Close() error {
	l.gate.mu.Lock()
	delete(l.gate.listeners, l)
	l.gate.mu.Unlock()
	return l.TCPListener.Close()
}
