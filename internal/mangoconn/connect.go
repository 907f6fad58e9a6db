package mangoconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// secondDialDelay is the time after which a second connection is dialled in parallel to the first. The round trip within a
// region is about a millisecond, so a dial that takes longer has probably lost its SYN packet, which the kernel resends only
// after a second.
const secondDialDelay = 40 * time.Millisecond

// dialResult is the connection or the error of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// Reach returns an error if no connection to an address can be made within the timeout.
func (d *Dialer) Reach(ctx context.Context, address string, timeout time.Duration) error {
	conn, err := d.connect(ctx, address, timeout)
	if err != nil {
		return err
	}
	_ = conn.Close()
	return nil
}

// connect dials up to two connections in parallel and returns the first that is made. If one is refused or reset, it fails
// at once, since that is an answer of the host.
func (d *Dialer) connect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan dialResult, 2)
	dial := func() {
		conn, err := d.dialer.DialContext(dialCtx, "tcp", address)
		results <- dialResult{conn, err}
	}
	go dial()
	second := time.NewTimer(min(secondDialDelay, timeout/2))
	defer second.Stop()
	pending := 1
	var lastErr error
	for pending > 0 {
		select {
		case <-second.C:
			pending++
			go dial()
		case r := <-results:
			pending--
			if r.err == nil && ctx.Err() == nil {
				closeRemaining(results, pending)
				return r.conn, nil
			}
			if r.err == nil {
				_ = r.conn.Close()
				r.err = ctx.Err()
			}
			lastErr = r.err
			if errors.Is(r.err, syscall.ECONNREFUSED) || errors.Is(r.err, syscall.ECONNRESET) || ctx.Err() != nil {
				closeRemaining(results, pending)
				return nil, &Error{Op: "Connect", Kind: KindUnsent, Err: lastErr}
			}
		}
	}
	return nil, &Error{Op: "Connect", Kind: KindUnsent, Err: lastErr}
}

// closeRemaining closes the connections of the pending dials as soon as they are made.
func closeRemaining(results <-chan dialResult, pending int) {
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if r := <-results; r.conn != nil {
				_ = r.conn.Close()
			}
		}
	}()
}
