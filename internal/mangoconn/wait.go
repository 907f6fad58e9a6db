package mangoconn

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Patience decides how long to wait for more bytes after a time of silence; 0 or less gives up.
type Patience func(silent time.Duration) time.Duration

// Wait bounds the waits of one exchange for bytes. Wake is safe for concurrent use.
type Wait struct {
	patience Patience

	mu    sync.Mutex
	conn  net.Conn
	woken bool
}

// NewWait returns a wait that asks patience.
func NewWait(patience Patience) *Wait { return &Wait{patience: patience} }

// Wake makes an exchange that waits for bytes ask its patience again. It never blocks.
func (w *Wait) Wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.woken = true
	if w.conn != nil {
		// A connection that has just been closed needs no waking.
		_ = w.conn.SetReadDeadline(time.Now())
	}
}

// arm sets the end of the next read; it reports false when the exchange is to be given up.
func (w *Wait) arm(conn net.Conn, silent time.Duration) (bool, error) {
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
	wait *Wait
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
