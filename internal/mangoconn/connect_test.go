package mangoconn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a replica that counts as unreachable because the SYN packet of one connection was lost, and against waiting
// for the timeout after a refusal.
func TestSecondDialAfterLostPacket(t *testing.T) {
	tests := []struct {
		name string
		// hanging is the number of dials that hang.
		hanging   int64
		closed    bool
		reachable bool
		refused   bool
	}{
		{"no dial hangs", 0, false, true, false},
		{"the first dial hangs", 1, false, true, false},
		{"both dials hang", 2, false, false, false},
		{"nothing listens", 0, true, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			if tt.closed {
				is.NoErr(l.Close())
			}
			var dials atomic.Int64
			d := New()
			d.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
				if dials.Add(1) > tt.hanging {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			}
			start := time.Now()
			err = d.Reach(t.Context(), l.Addr().String(), 2*time.Second)
			is.Equal(err == nil, tt.reachable)
			is.Equal(errors.Is(err, syscall.ECONNREFUSED), tt.refused)
			if tt.refused || tt.reachable {
				is.True(time.Since(start) < time.Second)
			}
			if err != nil {
				is.Equal(KindOf(t.Context(), err), KindUnsent)
			}
		})
	}
}
