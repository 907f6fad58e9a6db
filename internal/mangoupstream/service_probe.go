package mangoupstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// refusalProbeTime is enough for a process that is ending to close its listener, which it does a little later than its
	// connections; on a busy host that took more than 90 ms.
	refusalProbeTime = 250 * time.Millisecond
	// refusalProbeInterval is the least time between two connections, and maxRefusalProbes bounds their number: a living process
	// may close each of them at once.
	refusalProbeInterval = 30 * time.Millisecond
	maxRefusalProbes     = 4
)

// RefusesConnections reports whether an address refuses connections. An upstream that closed a connection after a request
// was sent and then refuses new ones has crashed. One that was restarted before or during the probes is not recognised as
// crashed. A connection that is still accepted is kept until it ends, as it does when the listener is closed, or until
// refusalProbeTime has passed.
func (c *ServiceClient) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusalProbeTime)
	defer cancel()
	var dialer net.Dialer
	for range maxRefusalProbes {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case err == nil:
			awaitConnEnd(ctx, conn)
		case !errors.Is(err, syscall.ECONNRESET):
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(refusalProbeInterval):
		}
	}
	return false
}

// awaitConnEnd waits until the other side ends a connection or the context ends, and closes it.
func awaitConnEnd(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	// Any end of the connection is what is waited for.
	_, _ = io.Copy(io.Discard, conn)
	stop()
	_ = conn.Close()
}
