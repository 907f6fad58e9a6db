package mangoconn

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// WaitPolicy returns how much longer to wait for bytes after a time without any; 0 or less means to give up.
type WaitPolicy func(silent time.Duration) time.Duration

// ReadWaiter bounds each wait for bytes of one exchange by a policy. Wake is safe for concurrent use.
type ReadWaiter struct {
	policy WaitPolicy

	mu sync.Mutex
	// conn is the connection that is read; it is nil before the first read.
	conn net.Conn
	// woken says that Wake was called since the policy was last asked.
	woken bool
}

// NewReadWaiter returns a waiter with a policy.
func NewReadWaiter(policy WaitPolicy) *ReadWaiter { return &ReadWaiter{policy: policy} }

// Wake makes an exchange that waits for bytes ask its policy again. It never blocks.
func (w *ReadWaiter) Wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.woken = true
	if w.conn != nil {
		// SetReadDeadline fails only if the connection is closed, and then no read waits.
		_ = w.conn.SetReadDeadline(time.Now())
	}
}

// setReadDeadline asks the policy and sets the deadline of the next read. It returns false if the policy gives up.
func (w *ReadWaiter) setReadDeadline(conn net.Conn, silent time.Duration) (bool, error) {
	w.mu.Lock()
	w.conn, w.woken = conn, false
	w.mu.Unlock()
	more := w.policy(silent)
	if more <= 0 {
		return false, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken {
		// The policy may have been asked before the change for which Wake was called, so the read times out at once.
		more = 0
	}
	return true, conn.SetReadDeadline(time.Now().Add(more))
}

// waitingConn is a connection whose reads wait for bytes as long as the policy of its waiter allows. Deadlines that pass
// before that stay inside Read, since the decoders that read from it take any error for the end of the answer.
type waitingConn struct {
	net.Conn
	waiter *ReadWaiter
}

// Read implements net.Conn.
func (c *waitingConn) Read(p []byte) (int, error) {
	began := time.Now()
	silent := time.Duration(0)
	for {
		ok, err := c.waiter.setReadDeadline(c.Conn, silent)
		if err != nil {
			return 0, err
		}
		if !ok {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		silent = time.Since(began)
	}
}
