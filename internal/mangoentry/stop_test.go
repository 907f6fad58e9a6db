package mangoentry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err = new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	return server, client
}

// Guards against a stopping daemon that closes an idle connection on which a request has just arrived.
func TestConnectionWithRequestStaysOpen(t *testing.T) {
	tests := []struct {
		name   string
		sent   string
		closed int
	}{
		{"nothing sent", "", 1},
		{"a request has begun to arrive", "POST / HTTP/1.1\r\n", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server, client := connPair(t)
			_, err := io.WriteString(client, tt.sent)
			is.NoErr(err)
			if tt.sent != "" {
				for !hasUnreadBytes(server) {
					time.Sleep(time.Millisecond)
				}
			}
			conns := newCallerConns()
			conns.trackState(server, http.StateIdle)
			is.Equal(conns.closeIdle(), tt.closed)
			_, err = server.Write([]byte("x"))
			is.Equal(err == nil, tt.closed == 0)
		})
	}
}

// Guards against a stopping daemon that cuts off a caller whose connection it has accepted and who sends its request only now.
func TestAcceptedConnectionIsServed(t *testing.T) {
	is := is.New(t)
	conns := newCallerConns()
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		ConnState:         conns.trackState,
	}
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	for conns.busyCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		shutdown(l, conns)
		_ = server.Close()
	}()
	// The listener ends first.
	is.True(errors.Is(<-ended, net.ErrClosed))
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://h/", nil)
	is.NoErr(err)
	is.NoErr(request.Write(conn))
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusNoContent)
	<-stopped
}
