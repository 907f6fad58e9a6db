package mangoentry

import (
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerConns tracks the callers' connections: those on which no request is being served, and how many others there are.
type callerConns struct {
	mu   sync.Mutex
	idle map[net.Conn]struct{}
	// busy are connections that were accepted and have not sent a request yet, and those whose request is being served.
	busy map[net.Conn]struct{}
}

func newCallerConns() *callerConns {
	return &callerConns{idle: map[net.Conn]struct{}{}, busy: map[net.Conn]struct{}{}}
}

// trackState records a state change of a connection. It is the ConnState hook of the HTTP server.
func (c *callerConns) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	delete(c.busy, conn)
	switch state {
	case http.StateIdle:
		c.idle[conn] = struct{}{}
	case http.StateNew, http.StateActive:
		c.busy[conn] = struct{}{}
	case http.StateHijacked, http.StateClosed:
	}
}

// busyCount returns the number of connections that may still get an answer.
func (c *callerConns) busyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}

// closeIdle closes the idle connections on which no request has begun to arrive, and returns their number. Their callers open
// new ones, which the load balancer sends to daemons that are not stopping; requests on the old ones would be refused.
func (c *callerConns) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for conn := range c.idle {
		if hasUnreadBytes(conn) {
			// Closing the connection now would reset it, and its caller would get no answer.
			continue
		}
		n++
		// An error means that the caller has closed the connection meanwhile, which is fine.
		_ = conn.Close()
		delete(c.idle, conn)
	}
	return n
}

// hasUnreadBytes reports whether bytes have arrived on a connection that the server has not read yet.
func hasUnreadBytes(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	// Control fails only if the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return waiting
}
