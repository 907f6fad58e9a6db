package mangolog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultBytes bounds the lines that wait.
	defaultBytes = 1 << 20
	// flushInterval is the time for which lines are gathered into one write.
	flushInterval = 200 * time.Millisecond
	// closeTimeout bounds the last write at the end of the process.
	closeTimeout = 300 * time.Millisecond
)

// Writer gathers lines and writes them from one goroutine. Write is safe for concurrent use and never blocks on the
// destination.
type Writer struct {
	out   io.Writer
	limit int
	wake  chan struct{}

	mu      sync.Mutex
	waiting bytes.Buffer
	unsaid  uint64
	dropped atomic.Uint64
}

// Option sets a property of a Writer.
type Option func(*Writer)

// WithBufferLimit bounds the bytes that wait.
func WithBufferLimit(n int) Option { return func(w *Writer) { w.limit = n } }

// New returns a writer to out; Run does the writing.
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{out: out, limit: defaultBytes, wake: make(chan struct{}, 1)}
	for _, o := range opts {
		o(w)
	}
	return w
}

var _ io.Writer = (*Writer)(nil)

// Write takes a line; it reports success also for a line that is dropped, since the caller can do nothing about it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.waiting.Len()+len(line) > w.limit {
		w.unsaid++
		w.dropped.Add(1)
		w.mu.Unlock()
		return len(line), nil
	}
	first := w.waiting.Len() == 0
	w.waiting.Write(line)
	w.mu.Unlock()
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes until the context ends and all lines are written or the destination has blocked for a moment.
func (w *Writer) Run(ctx context.Context) error {
	written := make(chan struct{}, 1)
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer close(written)
		w.loop(inner)
	}()
	<-ctx.Done()
	select {
	case <-written:
	case <-time.After(closeTimeout):
	}
	return ctx.Err()
}

func (w *Writer) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case <-w.wake:
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.waiting.Bytes())
	w.waiting.Reset()
	unsaid := w.unsaid
	w.unsaid = 0
	w.mu.Unlock()
	if unsaid > 0 {
		lines = fmt.Appendf(lines, "time=%q level=warning event=lines_dropped count=%d msg=\"log lines were dropped\"\n",
			time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00"), unsaid)
	}
	// There is nowhere to report that standard output fails.
	_, _ = w.out.Write(lines)
}
