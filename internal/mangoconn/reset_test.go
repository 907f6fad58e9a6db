package mangoconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an answer without a length that passes for complete although its connection was reset on the way: the reset had reached the
// write of the request, and the reads after it saw a plain end.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	const part = "the first part"
	tests := []struct {
		name, header string
		size         int
		end          func(c *net.TCPConn, reader *bufio.Reader)
		whole        bool
	}{
		{"reset while the request is written", "", 8 << 20, func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }, false},
		{"closed while the request is written", "", 8 << 20, func(*net.TCPConn, *bufio.Reader) {}, false},
		{"reset, with chunks", "Transfer-Encoding: chunked\r\n", 8 << 20, func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }, false},
		{"reset, with a length", "Content-Length: 100\r\n", 8 << 20, func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }, false},
		{"reset after a small request", "", 10, func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }, false},
		{"closed after the whole request", "", 8 << 20, func(_ *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, reader, 8<<20)
		}, true},
		{"closed after a small request", "", 10, func(_ *net.TCPConn, reader *bufio.Reader) { _, _ = io.CopyN(io.Discard, reader, 10) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				tcp, ok := conn.(*net.TCPConn)
				if !ok {
					return
				}
				defer func() { _ = tcp.Close() }()
				_ = tcp.SetReadBuffer(16 << 10)
				reader := bufio.NewReader(tcp)
				for line := "x"; strings.TrimSpace(line) != ""; {
					if line, err = reader.ReadString('\n'); err != nil {
						return
					}
				}
				body := part
				if strings.HasPrefix(tt.header, "Transfer") {
					body = "e\r\n" + part + "\r\n"
				}
				_, _ = io.WriteString(tcp, "HTTP/1.1 200 OK\r\n"+tt.header+"\r\n"+body)
				// The caller is blocked in its write by then, or waits for the rest.
				time.Sleep(50 * time.Millisecond)
				tt.end(tcp, reader)
			}()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String()+"/", strings.NewReader(strings.Repeat("b", tt.size)))
			is.NoErr(err)
			request.Close = true
			waiter := NewReadWaiter(func(silent time.Duration) time.Duration { return 5*time.Second - silent })
			response, err := New().Exchange(t.Context(), listener.Addr().String(), request, time.Second, waiter)
			is.NoErr(err)
			got, err := io.ReadAll(response.Body)
			response.Close()
			is.Equal(string(got), part)
			is.Equal(err == nil, tt.whole)
			if err != nil {
				is.True(!errors.Is(err, io.EOF))
				is.Equal(KindOf(context.Background(), err), KindBroken)
			}
			_ = listener.Close()
			<-ended
		})
	}
}
