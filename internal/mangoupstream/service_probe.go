package mangoupstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// refusalProbes and refusalProbeInterval are enough for a process that is ending to close its listener, which it does
	// a little later than its connections.
	refusalProbes        = 3
	refusalProbeInterval = 30 * time.Millisecond
	refusalProbeTimeout  = 300 * time.Millisecond
)

// RefusesConnections reports whether an address refuses connections. An upstream that closed a connection after a request
// was sent and then refuses new ones has crashed. One that was restarted before or during the probes is not recognised as
// crashed.
func (c *ServiceClient) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusalProbeTimeout)
	defer cancel()
	var dialer net.Dialer
	for range refusalProbes {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = conn.Close()
		select {
		case <-ctx.Done():
			return false
		case <-time.After(refusalProbeInterval):
		}
	}
	return false
}
