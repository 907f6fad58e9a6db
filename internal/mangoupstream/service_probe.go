package mangoupstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// refusalProbes and refusedPause cover the time in which a process that ends has lost its connections but not yet
	// its listener.
	refusalProbes        = 3
	refusalProbeInterval = 30 * time.Millisecond
	refusalProbeTimeout  = 300 * time.Millisecond
)

// Refuses reports whether an address refuses connections. An upstream that closed a connection after a request was
// sent and then refuses new ones has crashed; one that was replaced within the time of the question counts as alive.
func (c *ServiceClient) Refuses(ctx context.Context, address string) bool {
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
