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
	// defaultBufferLimit is the number of bytes that the buffer may hold.
	defaultBufferLimit = 1 << 20
	// flushInterval is the time for which lines are collected into one write.
	flushInterval = 200 * time.Millisecond
	// finalFlushTimeout bounds the wait for the last write at the end of the process.
	finalFlushTimeout = 300 * time.Millisecond
)

// Writer buffers lines and writes them from one goroutine. Write is safe for concurrent use and never blocks on the
// destination.
type Writer struct {
	out          io.Writer
	bufferLimit  int
	bufferFilled chan struct{}

	mu     sync.Mutex
	buffer bytes.Buffer
	// unreportedDrops is the number of dropped lines that no line has reported yet.
	unreportedDrops uint64
	dropped         atomic.Uint64
}

// Option sets a property of a Writer.
type Option func(*Writer)

// WithBufferLimit sets the number of bytes that the buffer may hold; the default is 1 MiB.
func WithBufferLimit(n int) Option { return func(w *Writer) { w.bufferLimit = n } }

// New returns a writer that buffers lines for out. Run writes them.
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{out: out, bufferLimit: defaultBufferLimit, bufferFilled: make(chan struct{}, 1)}
	for _, o := range opts {
		o(w)
	}
	return w
}

var _ io.Writer = (*Writer)(nil)

// Write adds a line to the buffer. It also reports success for a line that is dropped, since the caller can do nothing about
// it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.buffer.Len()+len(line) > w.bufferLimit {
		w.unreportedDrops++
		w.dropped.Add(1)
		w.mu.Unlock()
		return len(line), nil
	}
	wasEmpty := w.buffer.Len() == 0
	w.buffer.Write(line)
	w.mu.Unlock()
	if wasEmpty {
		select {
		case w.bufferFilled <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends. It then waits until the buffer is written, but no longer than finalFlushTimeout.
func (w *Writer) Run(ctx context.Context) error {
	loopDone := make(chan struct{}, 1)
	loopCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer close(loopDone)
		w.writeLoop(loopCtx)
	}()
	<-ctx.Done()
	select {
	case <-loopDone:
	case <-time.After(finalFlushTimeout):
	}
	return ctx.Err()
}

// writeLoop writes the buffer flushInterval after its first line, until the context ends.
func (w *Writer) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case <-w.bufferFilled:
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

// flush writes the buffer, with a line about the lines that were dropped since the last flush.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	unreported := w.unreportedDrops
	w.unreportedDrops = 0
	w.mu.Unlock()
	if unreported > 0 {
		lines = fmt.Appendf(lines, "time=%q level=warning event=lines_dropped count=%d msg=\"log lines were dropped\"\n",
			time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00"), unreported)
	}
	// There is nowhere to report an error of the log output.
	_, _ = w.out.Write(lines)
}
