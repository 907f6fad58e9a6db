package mangocheck

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// cuttableHub is the client of a broadcaster whose messages get no answer while cut is set.
type cuttableHub struct{ cut atomic.Bool }

func (h *cuttableHub) Exchange(ctx context.Context, _ string, _ *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	if h.cut.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &mangomessage.ExchangeReply{}, nil
}

type noTopology struct{}

func (noTopology) IsHub() bool { return false }

func (noTopology) Hub() (mangostate.Member, bool) { return mangostate.Member{}, false }

// isTimeout reports whether an attempt to connect timed out, by the deadline of its context or of its socket.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// listenDark returns the address of a socket whose kernel drops attempts to connect, since its queue of connections is full.
func listenDark(t *testing.T) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	// A busy process takes a connection that was made for a timeout, so several attempts in series have to time out.
	timeouts := 0
	for range 20 {
		conn, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext(t.Context(), "tcp", l.Addr().String())
		switch {
		case err == nil:
			timeouts = 0
			t.Cleanup(func() { _ = conn.Close() })
		case isTimeout(err):
			if timeouts++; timeouts == 3 {
				return l.Addr().String()
			}
		}
	}
	t.Fatal("attempts to connect are still answered")
	return ""
}

// Guards against a cut that is not found with real connections that get neither an answer nor a reset, or that is not ended by the first
// answer of a hub to a real broadcaster. The machine may be busy, so the time to the verdict is not bounded here.
func TestCutOffWithRealSockets(t *testing.T) {
	is := is.New(t)
	replicas := []*mangoreplica.Replica{replica(0), replica(1)}
	for _, r := range replicas {
		r.DataCentre, r.Address = "b", listenDark(t)
	}
	changes := make(chan string, 16)
	count := func(dataCentre, change string) { changes <- dataCentre + " " + change }
	c := newChecker(mangostate.Member{Name: "a-7", DataCentre: "a"}, nil, nil, WithCutObserver(func(string, string) {}, count))
	c.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(replicas), Members: hubs()}}
	hub := &cuttableHub{}
	hub.cut.Store(true)
	br := mangobroadcast.New(c.self, hub, c.state, noTopology{}, mangoreplica.NewHealthTracker(), mangocrash.New("a-7"), mangobroadcast.WithLogger(c.logger))
	br.OnAlive(c.HandleAlive)
	c.dialer, c.sender = mangoconn.New(), br
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- c.Run(ctx) }()
	go func() { ended <- br.Run(ctx) }()
	await := func(isCut bool) {
		t.Helper()
		asked := time.Time{}
		for begin := time.Now(); c.CutOff("b") != isCut; time.Sleep(5 * time.Millisecond) {
			if time.Since(begin) > 30*time.Second {
				t.Fatalf("not within 30 s: cut off is %v", isCut)
			}
			if isCut && time.Since(asked) > probeInterval+checkTimeout {
				asked = time.Now() // an Unknown result of a busy machine is no verdict, and the next round is as late
				c.RequestChecks(replicas)
			}
		}
	}
	begin := time.Now()
	await(true)
	t.Logf("cut off after %v", time.Since(begin))
	hub.cut.Store(false)
	await(false)
	cancel()
	is.True(<-ended != nil)
	is.True(<-ended != nil)
	is.Equal(<-changes, "b Cut")
	is.Equal(<-changes, "b Back")
}
