package mangoentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks the callers' connections, so that a stop closes those that carry no request and waits for the others.
type callerConns struct {
	mu sync.Mutex
	// states has the open connections with their states as the HTTP server sees them.
	states map[*callerConn]http.ConnState
	// acceptEnded is closed when the listener has returned its last connection.
	acceptEnded chan struct{}
	endAccept   func()
	lingerer    lingerer
}

func newCallerConns() *callerConns {
	c := &callerConns{states: map[*callerConn]http.ConnState{}, acceptEnded: make(chan struct{})}
	c.endAccept = sync.OnceFunc(func() { close(c.acceptEnded) })
	return c
}

// awaitAccepted waits until the listener, which has been closed, has returned its last connection, but no longer than to a time.
func (c *callerConns) awaitAccepted(end time.Time) {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-c.acceptEnded:
	case <-timer.C:
	}
}

// trackServer makes a server that serves a listener of this type report its connections.
func (c *callerConns) trackServer(server *http.Server) {
	server.ConnState = c.trackState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
}

// trackState records a state change of a connection. It is the ConnState hook of the HTTP server.
func (c *callerConns) trackState(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateHijacked || state == http.StateClosed {
		delete(c.states, tracked)
		return
	}
	c.states[tracked] = state
}

// pending returns the number of connections whose caller may still wait for an answer: those that were accepted and have not
// sent a request yet, those on which a request has begun to arrive, and those whose request is being served.
func (c *callerConns) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for conn, state := range c.states {
		if state != http.StateIdle || conn.hasBegun() {
			n++
		}
	}
	return n
}

// closeIdle closes the idle connections on which no request has begun to arrive, and returns their number. Their callers open
// new ones, which the load balancer sends to daemons that are not stopping; requests on the old ones could be refused.
func (c *callerConns) closeIdle() int {
	return c.closeQuiet(func(state http.ConnState) bool { return state == http.StateIdle })
}

// closeUnused closes all connections on which no request has begun to arrive, those that have just been accepted too, and
// returns their number.
func (c *callerConns) closeUnused() int {
	return c.closeQuiet(func(state http.ConnState) bool { return state != http.StateActive })
}

// closeUntil closes unused connections up to a time, or until no caller waits for an answer, and returns their number.
func (c *callerConns) closeUntil(end time.Time) int {
	n := 0
	for {
		n += c.closeUnused()
		if c.pending() == 0 || !time.Now().Before(end) {
			return n
		}
		sleepUntil(end)
	}
}

// closeQuiet closes the connections in matching states on which no request has begun to arrive, and returns their number.
func (c *callerConns) closeQuiet(matches func(http.ConnState) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for conn, state := range c.states {
		if matches(state) && conn.closeIfQuiet() {
			delete(c.states, conn)
			n++
		}
	}
	return n
}
