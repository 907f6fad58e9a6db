package mangoconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	// kept is an answer after which a connection may be idle for long, so that it does not expire on a busy machine.
	kept = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok"
)

// replicaServer answers each request of a connection with the next of its answers, or the last one from then on. An empty answer
// resets the connection after the request was read.
type replicaServer struct {
	Endpoint
	mu      sync.Mutex
	answers []string
	conns   []net.Conn
	// earlier has, for each request, the number of requests before it on its connection.
	earlier []int
}

func newReplicaServer(t *testing.T, answers ...string) *replicaServer {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &replicaServer{Endpoint: Endpoint{mangoreplica.Incarnation{ID: "a", Born: 1}, l.Addr().String()}, answers: answers}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			running.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.closeConns()
		running.Wait()
	})
	return s
}

func (s *replicaServer) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		answer := s.answers[0]
		if len(s.answers) > 1 {
			s.answers = s.answers[1:]
		}
		s.earlier = append(s.earlier, n)
		s.mu.Unlock()
		if answer == "" {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, answer)
		if strings.Contains(answer, "close") {
			_ = c.Close()
			return
		}
	}
}

// write sends a text on all connections.
func (s *replicaServer) write(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_, _ = io.WriteString(c, text)
	}
}

func (s *replicaServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// idleEnds is a PoolObserver that records the reasons for which idle connections were closed.
type idleEnds struct {
	noPoolObserver
	mu   sync.Mutex
	ends []IdleEnd
}

func (o *idleEnds) IdleConnectionClosed(e IdleEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ends = append(o.ends, e)
}

func (o *idleEnds) list() []IdleEnd {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]IdleEnd(nil), o.ends...)
}

func newRequest(e Endpoint) *http.Request {
	return &http.Request{Method: http.MethodGet, Host: "h", Close: true, Header: http.Header{}, URL: &url.URL{Scheme: "http", Host: e.Address, Path: "/"}}
}

func newWaiter() *ReadWaiter {
	return NewReadWaiter(func(silent time.Duration) time.Duration { return 20*time.Second - silent })
}

// open sends a request over a new connection and reads the head of its answer.
func open(t *testing.T, p *Pool, e Endpoint) *Response {
	t.Helper()
	r, err := p.ExchangeNew(t.Context(), e, newRequest(e), 20*time.Second, newWaiter())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// finish reads an answer to its end and allows to keep its connection.
func finish(r *Response) {
	r.AllowReuse()
	_, _ = io.Copy(io.Discard, r.Body)
	r.Close()
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the condition did not come to hold in 20 s")
		}
	}
}

// Guards against an idle connection that is kept longer than its upstream keeps it: the upstream counts from the end of its answer,
// which may have been read long before Close if the caller takes its answer slowly.
func TestIdleTimeBeginsWithEndOfAnswer(t *testing.T) {
	is := is.New(t)
	s := newReplicaServer(t, strings.Replace(whole, "OK", "OK\r\nKeep-Alive: timeout=1", 1))
	p := NewPool(New())
	t.Cleanup(p.CloseIdle)
	finish(open(t, p, s.Endpoint))
	is.True(p.HasIdle(s.Endpoint))
	p = NewPool(New())
	t.Cleanup(p.CloseIdle)
	r := open(t, p, s.Endpoint)
	r.AllowReuse()
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(time.Second - idleMargin)
	r.Close()
	is.True(!p.HasIdle(s.Endpoint))
}

// Guards against keeping a connection on which the next answer could be cut, mixed with other bytes, or never come.
func TestWhichConnectionsAreKept(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		use    func(r *Response)
		kept   bool
	}{
		{"answer with a length", whole, finish, true},
		{"answer with chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", finish, true},
		{"answer without a body", "HTTP/1.1 204 No Content\r\n\r\n", finish, true},
		{"stated idle time", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5, max=9\r\nContent-Length: 0\r\n\r\n", finish, true},
		{"refusal whose body is not read", whole, func(r *Response) { r.AllowReuse(); r.Close() }, true},
		{"closed twice", whole, func(r *Response) { finish(r); r.Close() }, true},
		{"woken after it", whole, func(r *Response) { finish(r); r.conn.waiter.Wake() }, true},
		{"idle time below the margin", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", finish, false},
		{"idle time that is no number", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=soon\r\nContent-Length: 0\r\n\r\n", finish, false},
		{"connection to be closed", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", finish, false},
		{"older protocol", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", finish, false},
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\nX-Then: close\r\n\r\nok", finish, false},
		{"bytes after the answer", whole + "HTTP", finish, false},
		{"second answer", whole + whole, finish, false},
		{"bytes after a body that is not read", whole + "x", func(r *Response) { r.AllowReuse(); r.Close() }, false},
		{"body not read to its end", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", func(r *Response) { r.AllowReuse(); r.Close() }, false},
		{"stream given up", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", func(r *Response) { r.AllowReuse(); r.Close() }, false},
		{"answer not recognised", whole, func(r *Response) { _, _ = io.Copy(io.Discard, r.Body); r.Close() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newReplicaServer(t, tt.answer, whole)
			p := NewPool(New())
			defer p.CloseIdle()
			first := open(t, p, s.Endpoint)
			is.True(first.ConnectTime > 0)
			tt.use(first)
			is.Equal(p.HasIdle(s.Endpoint), tt.kept)
			r, _, err := p.ExchangeKept(t.Context(), s.Endpoint, newRequest(s.Endpoint), newWaiter())
			is.Equal(err == nil, tt.kept)
			is.Equal(errors.Is(err, ErrNoneIdle), !tt.kept)
			if tt.kept {
				is.Equal(r.ConnectTime, time.Duration(0))
				finish(r)
				is.Equal(s.earlier, []int{0, 1})
			}
		})
	}
}

// Guards against a connection whose request was cancelled while its answer ended.
func TestCancelledIsNotKept(t *testing.T) {
	is := is.New(t)
	s := newReplicaServer(t, whole)
	p := NewPool(New())
	defer p.CloseIdle()
	ctx, cancel := context.WithCancel(t.Context())
	r, err := p.ExchangeNew(ctx, s.Endpoint, newRequest(s.Endpoint), 20*time.Second, newWaiter())
	is.NoErr(err)
	cancel()
	finish(r)
	is.True(!p.HasIdle(s.Endpoint))
}

// Guards against an idle connection that stays open, or is used, after it has ended, received bytes or expired, or when its
// replica must get nothing.
func TestIdleConnectionIsClosed(t *testing.T) {
	const keptBriefly = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, answer string
		event        func(s *replicaServer, usable *bool)
		reason       IdleEnd
	}{
		{"closed by the replica", kept, func(s *replicaServer, _ *bool) { s.closeConns() }, IdleEnded},
		{"extra answer", kept, func(s *replicaServer, _ *bool) { s.write(whole) }, IdleUnexpectedBytes},
		{"bytes that are no answer", kept, func(s *replicaServer, _ *bool) { s.write("\x00\x01") }, IdleUnexpectedBytes},
		{"stated time over", keptBriefly, func(*replicaServer, *bool) {}, IdleExpired},
		{"replica leaving or avoided", kept, func(_ *replicaServer, usable *bool) { *usable = false }, IdleUnusable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newReplicaServer(t, tt.answer)
			var mu sync.Mutex
			usable, ends := true, &idleEnds{}
			p := NewPool(New(), WithPoolObserver(ends), WithUsable(func(Endpoint) bool {
				mu.Lock()
				defer mu.Unlock()
				return usable
			}))
			defer p.CloseIdle()
			finish(open(t, p, s.Endpoint))
			mu.Lock()
			tt.event(s, &usable)
			mu.Unlock()
			eventually(t, func() bool { return len(ends.list()) == 1 })
			is.Equal(ends.list(), []IdleEnd{tt.reason})
			is.True(!p.HasIdle(s.Endpoint))
		})
	}
}

// Guards against a request on a connection of which it is known only at that moment that it must not be used: without the check
// at the time of use, the watcher would look up to usablePoll later.
func TestUnusableAtUse(t *testing.T) {
	is := is.New(t)
	s := newReplicaServer(t, kept)
	usable := make(chan struct{})
	p := NewPool(New(), WithUsable(func(Endpoint) bool {
		select {
		case <-usable:
			return false
		default:
			return true
		}
	}))
	defer p.CloseIdle()
	finish(open(t, p, s.Endpoint))
	close(usable)
	_, _, err := p.ExchangeKept(t.Context(), s.Endpoint, newRequest(s.Endpoint), newWaiter())
	is.True(errors.Is(err, ErrNoneIdle))
	is.Equal(len(s.earlier), 1)
}

// Guards against bytes, or an end, that arrive between the end of the watcher and the next request.
func TestPrepareFindsBytes(t *testing.T) {
	for _, event := range []func(s *replicaServer){func(s *replicaServer) { s.write("x") }, (*replicaServer).closeConns, nil} {
		is := is.New(t)
		s := newReplicaServer(t, whole)
		conn, err := New().connect(t.Context(), s.Address, time.Second)
		is.NoErr(err)
		eventually(t, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.conns) == 1
		})
		c := &idleConn{Conn: conn}
		if event == nil {
			is.True(c.prepare())
			_ = conn.Close()
			continue
		}
		event(s)
		eventually(t, func() bool { return !c.prepare() })
		_ = conn.Close()
	}
}

// Guards against a loss that passes for one before the request was sent: a replica may close the connection as the request
// arrives.
func TestBrokenKeptConnection(t *testing.T) {
	is := is.New(t)
	s := newReplicaServer(t, kept, "")
	p := NewPool(New())
	defer p.CloseIdle()
	finish(open(t, p, s.Endpoint))
	_, _, err := p.ExchangeKept(t.Context(), s.Endpoint, newRequest(s.Endpoint), newWaiter())
	is.Equal(KindOf(t.Context(), err), KindBroken)
}

// Guards against a request to a replica over the connection to another one that had its address before.
func TestAddressOfAnotherReplica(t *testing.T) {
	for _, other := range []mangoreplica.Incarnation{{ID: "b", Born: 1}, {ID: "a", Born: 2}} {
		is := is.New(t)
		s := newReplicaServer(t, kept)
		p := NewPool(New())
		finish(open(t, p, s.Endpoint))
		e := Endpoint{Replica: other, Address: s.Address}
		_, _, err := p.ExchangeKept(t.Context(), e, newRequest(e), newWaiter())
		is.True(errors.Is(err, ErrNoneIdle))
		p.CloseIdle()
	}
}

// Guards against idle connections beyond the bounds of a daemon and of a replica, and against one that is kept while the daemon
// stops.
func TestIdleLimits(t *testing.T) {
	is := is.New(t)
	ends := &idleEnds{}
	p := NewPool(New(), WithPoolObserver(ends))
	var servers []*replicaServer
	for i := range 5 {
		s := newReplicaServer(t, kept)
		s.Replica.Born = int64(i)
		servers = append(servers, s)
		var open3 []*Response
		for range 3 {
			open3 = append(open3, open(t, p, s.Endpoint))
		}
		for _, r := range open3 {
			finish(r)
		}
		is.Equal(len(p.idle[s.Endpoint]), maxIdlePerReplica)
	}
	is.Equal(len(p.allLocked()), maxIdle)
	is.True(!p.HasIdle(servers[0].Endpoint)) // the oldest went first
	running := open(t, p, servers[0].Endpoint)
	p.CloseIdle()
	finish(running)
	is.Equal(len(p.allLocked()), 0)
	is.Equal(len(ends.list()), 5+2+maxIdle)
	none := NewPool(New(), WithQuota(func(Endpoint) int { return 0 }))
	finish(open(t, none, servers[0].Endpoint))
	is.True(!none.HasIdle(servers[0].Endpoint))
}

// Guards against daemons whose idle connections together take more than a tenth of what a replica accepts.
func TestIdleQuota(t *testing.T) {
	tests := []struct{ maximum, daemons int }{{1248, 61}, {2125, 120}, {1000, 300}, {1000, 100}, {0, 61}, {20, 4}, {1, 60}}
	for _, tt := range tests {
		total := 0
		for i := range tt.daemons {
			total += IdleQuota(string(rune('a'+i)), "replica", tt.maximum, tt.daemons)
		}
		maximum := tt.maximum
		if maximum == 0 {
			maximum = assumedMaximum
		}
		is.New(t).True(float64(total) <= idleShare*float64(maximum))
	}
	is := is.New(t)
	is.Equal(IdleQuota("d", "r", 1248, 61), 2)
	is.Equal(IdleQuota("d", "r", 2125, 120), 1)
}
