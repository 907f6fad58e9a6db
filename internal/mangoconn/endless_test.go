package mangoconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveOnce accepts one connection, reads the head of a request and lets respond write the answer. It returns the address,
// and a channel with the number of bytes that respond could write.
func serveOnce(t *testing.T, respond func(c net.Conn) int) (string, <-chan int) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	written := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			written <- 0
			return
		}
		_, _ = c.Read(make([]byte, 4096))
		written <- respond(c)
		_ = c.Close()
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), written
}

// repeat writes begin, and then a text again and again until the connection is closed or 1 GiB is written.
func repeat(begin, text string, pause time.Duration) func(c net.Conn) int {
	return func(c net.Conn) int {
		total, err := io.WriteString(c, begin)
		for err == nil && total < 1<<30 {
			var n int
			n, err = io.WriteString(c, text)
			total += n
			time.Sleep(pause)
		}
		return total
	}
}

// Guards against an upstream that sends the head of an answer without end and so takes the memory of the host, and against
// one that sends a byte now and then and so is waited for without end.
func TestEndlessHead(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	tests := []struct {
		name    string
		respond func(c net.Conn) int
		kind    Kind
	}{
		{"bytes that are no answer", repeat("", long, 0), KindInvalid},
		{"status line", repeat("HTTP/1.1 200 ", long, 0), KindInvalid},
		{"header line", repeat("HTTP/1.1 200 OK\r\nX: ", long, 0), KindInvalid},
		{"header lines", repeat("HTTP/1.1 200 OK\r\n", strings.Repeat("X-Y: z\r\n", 1000), 0), KindInvalid},
		{"continued header line", repeat("HTTP/1.1 200 OK\r\nX: y\r\n", strings.Repeat(" z\r\n", 1000), 0), KindInvalid},
		{"informational answers", repeat("", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), 0), KindInvalid},
		{"a byte now and then", repeat("HTTP/1.1 200 OK\r\nX: ", "x", 10*time.Millisecond), KindTimeout},
		{"a header line now and then", repeat("HTTP/1.1 200 OK\r\n", "X: y\r\n", 10*time.Millisecond), KindTimeout},
		{"an informational answer now and then", repeat("", "HTTP/1.1 102 Processing\r\n\r\n", 10*time.Millisecond), KindTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address, written := serveOnce(t, tt.respond)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
			is.NoErr(err)
			// Only a head that comes slowly ends by this time, which leaves a busy machine the time to read the others.
			limit := 30 * time.Second
			if tt.kind == KindTimeout {
				limit = 500 * time.Millisecond
			}
			wait := NewReadWaiter(func(silent time.Duration) time.Duration { return limit - silent })
			_, err = New().Exchange(ctx, address, request, 20*time.Second, wait)
			is.True(err != nil)
			is.Equal(KindOf(ctx, err), tt.kind)
			// The rest are the buffers of the kernel.
			is.True(<-written < 32<<20)
		})
	}
}

// Guards against a body that is read although it makes no progress, because single bytes of it arrive.
func TestTrickledBody(t *testing.T) {
	is := is.New(t)
	address, _ := serveOnce(t, repeat("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", "x", 10*time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	is.NoErr(err)
	limit := 20 * time.Second
	wait := NewReadWaiter(func(silent time.Duration) time.Duration { return limit - silent })
	response, err := New().Exchange(ctx, address, request, limit, wait)
	is.NoErr(err)
	defer response.Close()
	limit = 500 * time.Millisecond // for the body
	_, err = io.ReadAll(response.Body)
	is.Equal(KindOf(ctx, err), KindTimeout)
}

// Guards against an answer that is taken although its bytes are none, and against a panic or a wait for such bytes.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nuntil the end", "\x00\x01", "HTTP/1.1 200",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		local, remote := net.Pipe()
		defer func() { _ = local.Close() }()
		go func() {
			_, _ = remote.Write(answer)
			_ = remote.Close()
		}()
		conn := &waitingConn{Conn: local, waiter: NewReadWaiter(func(time.Duration) time.Duration { return 5 * time.Second })}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := readHead(conn, request)
		if err != nil {
			return
		}
		if response.StatusCode < 200 || response.StatusCode > maxStatus {
			t.Fatalf("status %d is not that of a final answer", response.StatusCode)
		}
		body, err := io.ReadAll(response.Body)
		if err == nil && len(body) > len(answer) {
			t.Fatalf("a body of %d bytes in an answer of %d", len(body), len(answer))
		}
	})
}
