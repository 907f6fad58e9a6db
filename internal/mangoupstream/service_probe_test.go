package mangoupstream

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a crash that is not seen, as the process closes its listener a while after its connections, and so against a
// request that crashes one replica more. Also against probes without a bound of a living process.
func TestRefusesConnections(t *testing.T) {
	tests := []struct {
		name string
		// endsAfter is when the listener is closed; 0 if it is not. accepts says that the process accepts connections, and
		// closes that it closes them at once.
		endsAfter       time.Duration
		accepts, closes bool
		refuses         bool
		maxConns        int64
	}{
		{"has ended", time.Nanosecond, false, false, true, 0},
		{"ends after 20 ms", 20 * time.Millisecond, false, false, true, 1},
		{"ends after 80 ms", 80 * time.Millisecond, false, false, true, 1},
		{"ends after 120 ms", 120 * time.Millisecond, false, false, true, 1},
		{"ends after 120 ms and still accepts", 120 * time.Millisecond, true, false, true, 1},
		{"goes on", 0, true, false, false, 1},
		{"goes on and accepts nothing", 0, false, false, false, 1},
		{"goes on and closes connections", 0, true, true, false, maxRefusalProbes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			// On a busy host the listener may be closed too late, or the probes get no processor time until their time is over, which
			// says nothing about them. Probes without a bound, or that do not see the end, would fail in each try.
			for try := 1; ; try++ {
				u := startEndingUpstream(t, tt.endsAfter, tt.accepts, tt.closes)
				start := time.Now()
				refuses := NewServiceClient().RefusesConnections(t.Context(), u.address)
				took := time.Since(start)
				closedAfter := u.end().Sub(start)
				closedLate := tt.endsAfter > 0 && closedAfter > refusalProbeTime-2*refusalProbeInterval
				isLate := took >= refusalProbeTime+150*time.Millisecond
				timeIsOver := tt.refuses && !refuses && took >= refusalProbeTime
				if (closedLate || isLate || timeIsOver) && try < 10 {
					continue
				}
				is.Equal(refuses, tt.refuses)
				is.True(took < refusalProbeTime+150*time.Millisecond)
				is.True(u.conns.Load() <= tt.maxConns)
				return
			}
		})
	}
}

// endingUpstream is a process that closes its listener.
type endingUpstream struct {
	address  string
	conns    atomic.Int64
	listener net.Listener
	// accepted is closed when no connection is accepted any more, and closed gets the time at which the listener was closed.
	accepted chan struct{}
	closed   chan time.Time
}

// startEndingUpstream starts a process that closes its listener after a time, or never if that is 0. It accepts connections, and
// closes each at once, if it is to.
func startEndingUpstream(t *testing.T, endsAfter time.Duration, accepts, closes bool) *endingUpstream {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &endingUpstream{address: l.Addr().String(), listener: l, accepted: make(chan struct{}), closed: make(chan time.Time, 1)}
	go func() {
		defer close(u.accepted)
		for accepts {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			if closes {
				_ = conn.Close()
				continue
			}
			// A process that ends closes its connections.
			defer func() { _ = conn.Close() }()
		}
	}()
	closeListener := func() {
		_ = l.Close()
		u.closed <- time.Now()
	}
	switch {
	case endsAfter == time.Nanosecond:
		closeListener()
	case endsAfter > 0:
		time.AfterFunc(endsAfter, closeListener)
	default:
		u.closed <- time.Time{}
	}
	return u
}

// end ends the process and returns when it closed its listener by itself, or the zero time.
func (u *endingUpstream) end() time.Time {
	at := <-u.closed
	_ = u.listener.Close()
	<-u.accepted
	return at
}
