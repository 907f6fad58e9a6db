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

// Guards against replicas that are taken for lost because the opening packet of one connection was, and against a refusal
// that is waited out.
func TestSecondDialAfterLostPacket(t *testing.T) {
	tests := []struct {
		name string
		// lost is the number of attempts that hang.
		lost    int64
		closed  bool
		reached bool
		refused bool
	}{
		{"at once", 0, false, true, false},
		{"the first attempt hangs", 1, false, true, false},
		{"both attempts hang", 2, false, false, false},
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
			var tried atomic.Int64
			d := New()
			d.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
				if tried.Add(1) > tt.lost {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			}
			begun := time.Now()
			err = d.Reach(t.Context(), l.Addr().String(), 2*time.Second)
			is.Equal(err == nil, tt.reached)
			is.Equal(errors.Is(err, syscall.ECONNREFUSED), tt.refused)
			if tt.refused || tt.reached {
				is.True(time.Since(begun) < time.Second)
			}
			if err != nil {
				is.Equal(KindOf(t.Context(), err), KindUnsent)
			}
		})
	}
}
