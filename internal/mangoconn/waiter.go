package mangoconn

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// WaitPolicy returns how much longer to wait after a time without progress; 0 or less means to give up.
type WaitPolicy func(silent time.Duration) time.Duration

// ReadWaiter bounds the time without progress of one exchange by a policy. What progress is, the reader of the answer says by
// calling Progress: single bytes are none, so that an upstream that sends one now and then does not keep an exchange alive.
// Wake is safe for concurrent use.
type ReadWaiter struct {
	policy WaitPolicy

	mu sync.Mutex
	// conn is the connection that is read; it is nil before the first read.
	conn net.Conn
	// woken says that Wake was called since the policy was last asked.
	woken bool
	// progressAt is the time of the last progress.
	progressAt time.Time
}

// NewReadWaiter returns a waiter with a policy.
func NewReadWaiter(policy WaitPolicy) *ReadWaiter {
	return &ReadWaiter{policy: policy, progressAt: time.Now()}
}

// Progress records that a part of the answer has arrived for which the exchange was worth waiting.
func (w *ReadWaiter) Progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progressAt = time.Now()
}

// Exclude takes a time that has just passed out of the time without progress: nobody read the answer in it, as the reader waited
// for something else than the upstream.
func (w *ReadWaiter) Exclude(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progressAt = w.progressAt.Add(d)
}

// silence returns the time since the last progress.
func (w *ReadWaiter) silence() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.progressAt)
}

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

// detach makes Wake leave the connection alone, which another exchange is about to use.
func (w *ReadWaiter) detach() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
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
	for {
		ok, err := c.waiter.setReadDeadline(c.Conn, c.waiter.silence())
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
	}
}
