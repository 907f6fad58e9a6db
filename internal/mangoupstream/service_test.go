package mangoupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// processorTime returns the CPU time that the test process has used.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// flakyServer answers the first request of each connection and closes the connection on the second without an answer.
func flakyServer(t *testing.T, executed *atomic.Int32) string {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := range 2 {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_ = request.Body.Close()
					executed.Add(1)
					if n == 0 {
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a non-idempotent request that net/http sends again because a reused connection closed without an answer.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, body := range []string{"", "reserve"} {
		t.Run("body "+body, func(t *testing.T) {
			is := is.New(t)
			var executed atomic.Int32
			address := flakyServer(t, &executed)
			client := NewServiceClient()
			defer client.Close()
			for range 4 {
				_, _ = client.Call(t.Context(), address, Request{
					Method: http.MethodPost, Path: "/x", Body: []byte(body), IdempotencyKey: "k",
				})
			}
			is.Equal(executed.Load(), int32(4))
		})
	}
}

// Guards against the same failure when the transport does reuse connections: the request itself must not be replayable.
func TestNonIdempotentRequestIsNotReplayable(t *testing.T) {
	for _, body := range []string{"", "reserve"} {
		t.Run("body "+body, func(t *testing.T) {
			is := is.New(t)
			var executed atomic.Int32
			address := flakyServer(t, &executed)
			transport := newTransport(newOptions(nil), true)
			defer transport.CloseIdleConnections()
			failures := 0
			for range 2 {
				request, err := serviceRequest(t.Context(), address, Request{
					Method: http.MethodPost, Path: "/x", Body: []byte(body), IdempotencyKey: "k",
				})
				is.NoErr(err)
				if _, failed := roundTrip(transport, request, "Call", 1000); failed != nil {
					failures++
				}
			}
			is.Equal(executed.Load(), int32(2))
			is.Equal(failures, 1)
		})
	}
}

// Guards against an error that says that a call did not run although it may have, and against an unclear error for a call
// that certainly did not run.
func TestServiceErrors(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    Kind
	}{
		{"answer", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }, 0},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Executed", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, KindRefused},
		{"unclear 503", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 0},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/y", http.StatusTemporaryRedirect) }, 0},
		{"lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, KindLost},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		}, KindLost},
		{"timeout", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, KindTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after it has read the body
				c.handler(w, r)
			}))
			defer server.Close()
			client := NewServiceClient()
			defer client.Close()
			// Only the call that is to time out ends by its deadline, which leaves a busy machine the time to send it.
			timeout := time.Minute
			if c.want == KindTimeout {
				timeout = time.Second
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := client.Call(ctx, strings.TrimPrefix(server.URL, "http://"), Request{Method: http.MethodPost, Path: "/x"})
			is.Equal(kindOf(err), c.want)
			is.Equal(runs.Load(), int32(1))
		})
	}
}

// Guards against an unreachable service being reported as one that may have run the call.
func TestServiceNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = NewServiceClient().Call(t.Context(), address, Request{Method: http.MethodPost, Path: "/x"})
	is.Equal(kindOf(err), KindNotSent)
}
