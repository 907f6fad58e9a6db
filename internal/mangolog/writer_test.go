package mangolog

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedOutput is a destination whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func (b *blockedOutput) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.String()
}

// Guards against Write blocking on a blocked output, against a buffer that grows without bound meanwhile, and against lines
// that are dropped without a line that says so.
func TestBlockedOutputDropsLines(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out, WithBufferLimit(1000))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	line := []byte(strings.Repeat("x", 99) + "\n")
	start := time.Now()
	for range 100000 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(start) < 5*time.Second)
	is.True(w.Dropped() > 90000)
	close(out.release)
	for end := time.Now().Add(5 * time.Second); !strings.Contains(out.text(), "event=lines_dropped"); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	cancel()
	is.Equal(<-ended, context.Canceled)
}

// Guards against a process that does not end because its log output is blocked.
func TestRunEndsWhileOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedOutput{release: make(chan struct{})}
		defer close(out.release)
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		cancel()
		select {
		case err := <-ended:
			is.Equal(err, context.Canceled)
		case <-time.After(5 * time.Second):
			t.Fatal("Run did not return although its context ended")
		}
	})
}

// Guards against last lines that are lost although they are being read, only slowly.
func TestLastLinesAreReadSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var written int
		out := writerFunc(func(p []byte) (int, error) {
			time.Sleep(finalFlushTimeout / 6)
			written += len(p)
			return len(p), nil
		})
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		lines := bytes.Repeat([]byte("event=last\n"), 4*writeSize/11)
		_, _ = w.Write(lines)
		is.True(w.Run(ctx) != nil)
		flushed := written
		time.Sleep(time.Second) // Writes that Run did not wait for end.
		is.Equal(flushed, len(lines))
	})
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
