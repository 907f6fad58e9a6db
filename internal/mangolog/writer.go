package mangolog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultBufferLimit is the number of bytes that the buffer may hold.
	defaultBufferLimit = 1 << 20
	// flushInterval is the time for which lines are collected into one write.
	flushInterval = 200 * time.Millisecond
	// finalFlushTimeout bounds the wait for the last lines at the end of the process. A relay has 300 ms between the close of its
	// connections and the end of the grace period. finalStallTimeout bounds the wait while nobody reads the lines.
	finalFlushTimeout = 250 * time.Millisecond
	finalStallTimeout = 200 * time.Millisecond
	// finalFlushPoll is the interval at which the wait checks whether the last lines are being read.
	finalFlushPoll = 10 * time.Millisecond
	// writeSize is the size of a write in bytes. Each completed write shows that the log is being read.
	writeSize = 16 << 10
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
	// writes counts the writes to the destination.
	writes atomic.Uint64
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

// Run writes lines until the context ends. It then waits until the buffer is written, but no longer than finalFlushTimeout, and
// no longer than finalStallTimeout without a write.
func (w *Writer) Run(ctx context.Context) error {
	loopDone := make(chan struct{}, 1)
	loopCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer close(loopDone)
		w.writeLoop(loopCtx)
	}()
	<-ctx.Done()
	w.awaitFlush(loopDone)
	return ctx.Err()
}

// awaitFlush waits until the last lines are written or the limits of that have passed.
func (w *Writer) awaitFlush(done <-chan struct{}) {
	poll := time.NewTicker(finalFlushPoll)
	defer poll.Stop()
	writes, began := w.writes.Load(), time.Now()
	for progress := began; time.Since(progress) < finalStallTimeout && time.Since(began) < finalFlushTimeout; {
		select {
		case <-done:
			return
		case <-poll.C:
		}
		if n := w.writes.Load(); n != writes {
			writes, progress = n, time.Now()
		}
	}
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
	for part := range slices.Chunk(lines, writeSize) {
		// There is nowhere to report an error of the log output.
		_, _ = w.out.Write(part)
		w.writes.Add(1)
	}
}
