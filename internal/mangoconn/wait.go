package mangoconn

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// WaitPolicy decides how long to wait for more bytes after a time of silence; 0 or less gives up.
type WaitPolicy func(silent time.Duration) time.Duration

// ReadWaiter bounds the waits of one exchange for bytes. Wake is safe for concurrent use.
type ReadWaiter struct {
	patience WaitPolicy

	mu    sync.Mutex
	conn  net.Conn
	woken bool
}

// NewReadWaiter returns a wait that asks patience.
func NewReadWaiter(patience WaitPolicy) *ReadWaiter { return &ReadWaiter{patience: patience} }

// Wake makes an exchange that waits for bytes ask its patience again. It never blocks.
func (w *ReadWaiter) Wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.woken = true
	if w.conn != nil {
		// A connection that has just been closed needs no waking.
		_ = w.conn.SetReadDeadline(time.Now())
	}
}

// arm sets the end of the next read; it reports false when the exchange is to be given up.
func (w *ReadWaiter) arm(conn net.Conn, silent time.Duration) (bool, error) {
	w.mu.Lock()
	w.conn, w.woken = conn, false
	w.mu.Unlock()
	more := w.patience(silent)
	if more <= 0 {
		return false, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken {
		// What woke the exchange may be newer than the answer of its patience.
		more = 0
	}
	return true, conn.SetReadDeadline(time.Now().Add(more))
}

// patientConn waits for bytes as long as its patience lasts. A time-out inside one read keeps the decoders above it
// intact, which take an error for the end of the answer.
type patientConn struct {
	net.Conn
	wait *ReadWaiter
}

// Read implements net.Conn.
func (c *patientConn) Read(p []byte) (int, error) {
	began := time.Now()
	silent := time.Duration(0)
	for {
		ok, err := c.wait.arm(c.Conn, silent)
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
