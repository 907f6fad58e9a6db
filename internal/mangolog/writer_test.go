package mangolog

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blocked is a destination that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

func (b *blocked) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.String()
}

// Guards against requests that wait for standard output, against memory that grows with lines that nobody reads, and
// against lines that are dropped without a word.
func TestBlockedDestination(t *testing.T) {
	is := is.New(t)
	out := &blocked{release: make(chan struct{})}
	w := New(out, WithBufferLimit(1000))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	line := []byte(strings.Repeat("x", 99) + "\n")
	begun := time.Now()
	for range 100000 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(begun) < 5*time.Second)
	is.True(w.Dropped() > 90000)
	close(out.release)
	for end := time.Now().Add(5 * time.Second); !strings.Contains(out.text(), "event=lines_dropped"); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	cancel()
	is.Equal(<-ended, context.Canceled)
}

// Guards against a process that does not end because standard output blocks.
func TestEndWhileBlocked(t *testing.T) {
	is := is.New(t)
	out := &blocked{release: make(chan struct{})}
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
		t.Fatal("the writer does not end")
	}
}
