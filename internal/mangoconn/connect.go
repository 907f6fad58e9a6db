package mangoconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// secondDialDelay is the time after which a second connection is tried beside the first. The round trip within a region is
// about a millisecond, so an attempt that takes longer has probably lost its opening packet, which the kernel sends again
// only after a second.
const secondDialDelay = 40 * time.Millisecond

// dialResult is the result of one try to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// Reach reports whether a connection can be made within a time.
func (d *Dialer) Reach(ctx context.Context, address string, timeout time.Duration) error {
	conn, err := d.connect(ctx, address, timeout)
	if err != nil {
		return err
	}
	_ = conn.Close()
	return nil
}

// connect tries up to two connections. The first one that is made counts; a refusal ends the try, as it is an answer.
func (d *Dialer) connect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialing, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan dialResult, 2)
	dial := func() {
		conn, err := d.dialer.DialContext(dialing, "tcp", address)
		results <- dialResult{conn, err}
	}
	go dial()
	second := time.NewTimer(min(secondDialDelay, timeout/2))
	defer second.Stop()
	running := 1
	var last error
	for running > 0 {
		select {
		case <-second.C:
			running++
			go dial()
		case r := <-results:
			running--
			if r.err == nil && ctx.Err() == nil {
				closeRemaining(results, running)
				return r.conn, nil
			}
			if r.err == nil {
				_ = r.conn.Close()
				r.err = ctx.Err()
			}
			last = r.err
			if errors.Is(r.err, syscall.ECONNREFUSED) || errors.Is(r.err, syscall.ECONNRESET) || ctx.Err() != nil {
				closeRemaining(results, running)
				return nil, &Error{Op: "Connect", Kind: KindUnsent, Err: last}
			}
		}
	}
	return nil, &Error{Op: "Connect", Kind: KindUnsent, Err: last}
}

// closeRemaining closes the connections of attempts that are still running.
func closeRemaining(results <-chan dialResult, running int) {
	if running == 0 {
		return
	}
	go func() {
		for range running {
			if r := <-results; r.conn != nil {
				_ = r.conn.Close()
			}
		}
	}()
}
