package mangoconn

import (
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a reader that sleeps through a wake-up, also one that comes while its patience is being asked.
func TestWake(t *testing.T) {
	tests := []struct {
		name   string
		during bool
	}{
		{"while it waits", false},
		{"while its patience is asked", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			own, other := net.Pipe()
			defer func() { _ = own.Close(); _ = other.Close() }()
			var lost atomic.Bool
			var asked atomic.Int64
			var w *ReadWaiter
			w = NewReadWaiter(func(time.Duration) time.Duration {
				if lost.Load() {
					return 0
				}
				if asked.Add(1) == 1 && tt.during {
					lost.Store(true)
					w.Wake()
				}
				return time.Minute
			})
			c := &patientConn{Conn: own, wait: w}
			ended := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 1))
				ended <- err
			}()
			if !tt.during {
				for asked.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				lost.Store(true)
				w.Wake()
			}
			select {
			case err := <-ended:
				is.Equal(err, os.ErrDeadlineExceeded)
			case <-time.After(10 * time.Second):
				t.Fatal("the reader was not woken")
			}
		})
	}
}
