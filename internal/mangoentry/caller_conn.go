package mangoentry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerListener accepts connections as type callerConn and counts each before the HTTP server knows of it.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.conns.endAccept()
	}
	if err != nil {
		return nil, err
	}
	tracked, err := newCallerConn(conn, &l.conns.lingerer)
	if err != nil {
		return nil, err
	}
	l.conns.trackState(tracked, http.StateNew)
	return tracked, nil
}

// callerConn is a connection of a caller that knows whether a request has begun to arrive on it. Reading bytes and closing the
// connection exclude each other, so that no request is read from a connection that is being closed as unused.
type callerConn struct {
	net.Conn
	raw      syscall.RawConn
	lingerer *lingerer

	mu sync.Mutex
	// begun says that bytes were read which belong to no request that the handler has.
	begun bool
	// closed says that the connection was closed, and lingers that its lingerer has the rest to do.
	closed  bool
	lingers bool
}

// callerConnKey is the key of the callerConn in the context of a request.
type callerConnKey struct{}

// callerConnOf returns the connection on which a request came, or nil if it is no callerConn.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return conn
}

// newCallerConn returns a callerConn for a TCP connection, which it closes on an error.
func newCallerConn(conn net.Conn, l *lingerer) (*callerConn, error) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		_ = conn.Close()
		return nil, &Error{Op: "Accept", Kind: KindComponent, Err: syscall.ENOTSOCK}
	}
	raw, err := source.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, &Error{Op: "Accept", Kind: KindComponent, Err: err}
	}
	return &callerConn{Conn: conn, raw: raw, lingerer: l}, nil
}

// Read implements net.Conn. Errors are those of a net.TCPConn.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var n int
	var readErr error
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		n, readErr = c.readAvailable(int(fd), p)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, c.readError(waitErr)
	case readErr != nil:
		return 0, c.readError(os.NewSyscallError("read", readErr))
	case n == 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}

// readAvailable reads what has arrived, and marks the connection as begun if that is anything.
func (c *callerConn) readAvailable(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, unix.ECONNABORTED
	}
	for {
		n, err := unix.Read(fd, p)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return 0, err
		case n > 0:
			c.begun = true
		}
		return n, nil
	}
}

// readError returns a read error with the operation that net.TCPConn names.
func (c *callerConn) readError(err error) error {
	var wrapped *net.OpError
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// CloseWrite shuts the writing side down, which net/http does before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// takeRequest marks the request that has arrived as one that the handler has. It returns false if the connection has been
// closed, so that its caller can get no answer.
func (c *callerConn) takeRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
	return !c.closed
}

// hasBegun reports whether a part of a request has arrived that the handler does not have yet.
func (c *callerConn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun || c.hasUnreadBytes()
}

// Close implements net.Conn. It does not wait until the caller has the end of an answer.
func (c *callerConn) Close() error {
	if c.beginLinger() {
		// A read or write that waits ends.
		_ = c.SetDeadline(time.Now())
		return c.CloseWrite()
	}
	// It waits for a read that may be waiting for c.mu, so it is called without it.
	return c.Conn.Close()
}

// beginLinger marks the connection as closed, and reports whether its lingerer closes it.
func (c *callerConn) beginLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if !c.lingers {
		c.lingers = c.hasUnacknowledged() && c.lingerer.begin(c)
	}
	return c.lingers
}

// closeIfQuiet closes the connection unless a request has begun to arrive, and reports whether it did. The connection would be
// reset then, and its caller would get no answer.
func (c *callerConn) closeIfQuiet() bool {
	if !c.markClosed() {
		return false
	}
	// An error means that the caller has closed the connection meanwhile, which is fine.
	_ = c.Close()
	return true
}

// markClosed marks the connection as closed unless a request has begun to arrive, and reports whether it did.
func (c *callerConn) markClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.begun || c.hasUnreadBytes() {
		return false
	}
	c.closed = true
	return true
}

// hasUnreadBytes reports whether bytes have arrived that have not been read. The caller holds c.mu.
func (c *callerConn) hasUnreadBytes() bool {
	waiting := false
	// Control fails only if the connection is closed.
	_ = c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return waiting
}
