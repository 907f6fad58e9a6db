package mangoentry

import (
	"net"
	"net/http"
	"sync"
)

// connections knows the callers' connections on which no request is being served.
type connections struct {
	mu   sync.Mutex
	idle map[net.Conn]struct{}
}

func newConnections() *connections { return &connections{idle: map[net.Conn]struct{}{}} }

// note is the hook of the HTTP server for changes of a connection.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = struct{}{}
		return
	}
	delete(c.idle, conn)
}

// closeIdle closes the connections that served a request and wait for another one. Their callers make new ones, which the
// load balancer gives to daemons that do not stop; on the old ones they would meet a refusal.
func (c *connections) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	for conn := range c.idle {
		// A connection that its caller has closed meanwhile is as good.
		_ = conn.Close()
		delete(c.idle, conn)
	}
	return n
}
