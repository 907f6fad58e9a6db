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

// startEcho counts the lines that it gets and sends each back.
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

// echo sends a line and returns the time until it is back.
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

// Guards against faults that do less or more than they say, on connections from before and after the fault.
func TestFaults(t *testing.T) {
	tests := []struct {
		name     string
		faults   Faults
		existing bool
		fresh    bool
		lines    int64
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
			_, err = echo(conn, "a", time.Second)
			is.NoErr(err)
			is.NoErr(p.SetFaults(context.Background(), test.faults))
			_, err = echo(conn, "b", 100*time.Millisecond)
			is.Equal(err == nil, test.existing)
			fresh, err := dial(t, p)
			if err == nil {
				_, err = echo(fresh, "c", 100*time.Millisecond)
			}
			is.Equal(err == nil, test.fresh)
			is.Equal(lines.Load(), test.lines)
			is.NoErr(p.SetFaults(context.Background(), Faults{}))
			again, err := dial(t, p)
			is.NoErr(err)
			_, err = echo(again, "d", time.Second)
			is.NoErr(err)
		})
	}
}

// Guards against a delay or a bandwidth that is not applied.
func TestSlowLink(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		size   int
		least  time.Duration
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
			took, err := echo(conn, string(make([]byte, test.size)), 5*time.Second)
			is.NoErr(err)
			is.True(took >= test.least)
		})
	}
}

// Guards against a proxy that cannot end because of a frozen connection.
func TestEndsFrozenConnections(t *testing.T) {
	is := is.New(t)
	p, _ := startProxy(t)
	conn, err := dial(t, p)
	is.NoErr(err)
	_, err = echo(conn, "a", time.Second)
	is.NoErr(err)
	is.NoErr(p.SetFaults(context.Background(), Faults{Freeze: true}))
	is.Equal(p.State().Frozen, 1)
}
