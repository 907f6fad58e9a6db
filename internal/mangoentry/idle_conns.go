package mangoentry

import (
	"net"
	"net/http"
	"sync"
)

// idleConns tracks the callers' connections on which no request is being served.
type idleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newIdleConns() *idleConns { return &idleConns{conns: map[net.Conn]struct{}{}} }

// trackState records a state change of a connection. It is the ConnState hook of the HTTP server.
func (c *idleConns) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.conns[conn] = struct{}{}
		return
	}
	delete(c.conns, conn)
}

// closeAll closes the idle connections and returns their number. Their callers open new ones, which the load balancer sends
// to daemons that are not stopping; requests on the old ones would be refused.
func (c *idleConns) closeAll() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.conns)
	for conn := range c.conns {
		// An error means that the caller has closed the connection meanwhile, which is fine.
		_ = conn.Close()
		delete(c.conns, conn)
	}
	return n
}
