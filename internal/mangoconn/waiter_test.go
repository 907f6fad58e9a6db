package mangoconn

import (
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a read that goes on waiting after Wake, also if Wake is called while the policy is being asked.
func TestWakeInterruptsRead(t *testing.T) {
	tests := []struct {
		name         string
		duringPolicy bool
	}{
		{"during the read", false},
		{"while the policy is asked", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			local, remote := net.Pipe()
			defer func() { _ = local.Close(); _ = remote.Close() }()
			var giveUp atomic.Bool
			var asked atomic.Int64
			var w *ReadWaiter
			w = NewReadWaiter(func(time.Duration) time.Duration {
				if giveUp.Load() {
					return 0
				}
				if asked.Add(1) == 1 && tt.duringPolicy {
					giveUp.Store(true)
					w.Wake()
				}
				return time.Minute
			})
			c := &waitingConn{Conn: local, waiter: w}
			readErr := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 1))
				readErr <- err
			}()
			if !tt.duringPolicy {
				for asked.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				giveUp.Store(true)
				w.Wake()
			}
			select {
			case err := <-readErr:
				is.Equal(err, os.ErrDeadlineExceeded)
			case <-time.After(10 * time.Second):
				t.Fatal("the read did not return after Wake")
			}
		})
	}
}
