package mangofault

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEcho starts a server that sends each line back. It returns the address and the number of lines received.
func startEcho(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var lines atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for scanner := bufio.NewScanner(conn); scanner.Scan(); {
					lines.Add(1)
					_, _ = conn.Write(append(scanner.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String(), &lines
}

func startProxy(t *testing.T) (*Proxy, *atomic.Int64) {
	t.Helper()
	target, lines := startEcho(t)
	ctx, cancel := context.WithCancel(context.Background())
	p, err := New(ctx, "127.0.0.1:0", target)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p, lines
}

func dial(t *testing.T, p *Proxy) (net.Conn, error) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.Address())
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

// echo sends a line and returns the time until the line has come back.
func echo(conn net.Conn, text string, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	if err := conn.SetDeadline(start.Add(timeout)); err != nil {
		return 0, err
	}
	if _, err := conn.Write([]byte(text + "\n")); err != nil {
		return 0, err
	}
	_, err := bufio.NewReaderSize(conn, 1<<16).ReadString('\n')
	return time.Since(start), err
}

// workingTimeout bounds an echo that is to come back, also on a busy machine.
const workingTimeout = 20 * time.Second

// timeoutFor returns the timeout of an echo that is to come back or not.
func timeoutFor(works bool) time.Duration {
	if works {
		return workingTimeout
	}
	return 100 * time.Millisecond
}

// Guards against faults that affect too little or too much, on connections that were opened before or after the fault.
func TestFaultsAffectOnlyTheirTraffic(t *testing.T) {
	tests := []struct {
		name          string
		faults        Faults
		existingWorks bool
		newWorks      bool
		lines         int64
	}{
		{"none", Faults{}, true, true, 3},
		{"cut", Faults{Cut: true}, false, false, 1},
		{"freeze", Faults{Freeze: true}, false, true, 2},
		{"to target", Faults{CutToTarget: true}, false, false, 1},
		{"to caller", Faults{CutToCaller: true}, false, false, 3},
		{"dropped reply", Faults{DropReplies: 1}, false, true, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p, lines := startProxy(t)
			conn, err := dial(t, p)
			is.NoErr(err)
			_, err = echo(conn, "a", workingTimeout)
			is.NoErr(err)
			is.NoErr(p.SetFaults(context.Background(), test.faults))
			_, err = echo(conn, "b", timeoutFor(test.existingWorks))
			is.Equal(err == nil, test.existingWorks)
			newConn, err := dial(t, p)
			if err == nil {
				_, err = echo(newConn, "c", timeoutFor(test.newWorks))
			}
			is.Equal(err == nil, test.newWorks)
			// A line whose echo is lost may arrive after its timeout.
			for until := time.Now().Add(workingTimeout); lines.Load() < test.lines && time.Now().Before(until); {
				time.Sleep(5 * time.Millisecond)
			}
			is.Equal(lines.Load(), test.lines)
			is.NoErr(p.SetFaults(context.Background(), Faults{}))
			again, err := dial(t, p)
			is.NoErr(err)
			_, err = echo(again, "d", workingTimeout)
			is.NoErr(err)
		})
	}
}

// Guards against a delay or a bandwidth that is not applied.
func TestDelayAndBandwidthAreApplied(t *testing.T) {
	tests := []struct {
		name    string
		faults  Faults
		size    int
		minTime time.Duration
	}{
		{"delay", Faults{DelayMs: 40}, 1, 80 * time.Millisecond},
		{"bandwidth", Faults{Bandwidth: 100000}, 40000, 380 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p, _ := startProxy(t)
			is.NoErr(p.SetFaults(context.Background(), test.faults))
			conn, err := dial(t, p)
			is.NoErr(err)
			roundTrip, err := echo(conn, string(make([]byte, test.size)), 5*time.Second)
			is.NoErr(err)
			is.True(roundTrip >= test.minTime)
		})
	}
}

// Guards against a proxy that cannot stop because a frozen connection never ends. The cleanup waits for the end of Run.
func TestFrozenConnectionsEndWithProxy(t *testing.T) {
	is := is.New(t)
	p, _ := startProxy(t)
	conn, err := dial(t, p)
	is.NoErr(err)
	_, err = echo(conn, "a", workingTimeout)
	is.NoErr(err)
	is.NoErr(p.SetFaults(context.Background(), Faults{Freeze: true}))
	is.Equal(p.State().Frozen, 1)
}
