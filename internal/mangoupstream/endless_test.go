package mangoupstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBytesTaken bounds what an upstream can send before the client closes the connection: the largest bound of a reply and the
// buffers of the kernel.
const maxBytesTaken = 32 << 20

// endlessUpstream writes begin and then a text again and again to each connection, until it is closed or 1 GiB is written. The
// channel has the number of bytes written to each connection.
func endlessUpstream(t *testing.T, begin, text string) (address string, written <-chan int) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counts := make(chan int, 16)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			total, err := io.WriteString(conn, begin)
			for err == nil && total < 1<<30 {
				var n int
				n, err = io.WriteString(conn, text)
				total += n
			}
			_ = conn.Close()
			counts <- total
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
	})
	return l.Addr().String(), counts
}

// Guards against an upstream that takes the memory of the entry host by bytes without end: the head of a stream's answer, and
// the replies to reports and orders, were kept without a bound or with one of 64 MiB.
func TestBytesWithoutEnd(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	const reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := "10000\r\n" + long + "\r\n"
	sends := []struct{ name, begin, text string }{
		{"bytes that are no answer", "", long},
		{"status line", "HTTP/1.1 200 ", long},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", long},
		{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Y: z\r\n", 1000)},
		{"informational answers", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		{"length of a chunk", reply, strings.Repeat("0", 4096)},
		{"body", reply, chunk},
		{"trailer", reply + "0\r\n", strings.Repeat("X: y\r\n", 1000)},
	}
	calls := []struct {
		name string
		call func(ctx context.Context, address string) error
	}{
		{"stream", func(ctx context.Context, address string) error {
			_, _, err := New().Open(ctx, address, &mangomessage.Open{})
			return err
		}},
		{"state", func(ctx context.Context, address string) error {
			_, err := New().State(ctx, address)
			return err
		}},
		{"order", func(ctx context.Context, address string) error {
			_, err := New().Order(ctx, address, &mangomessage.Order{})
			return err
		}},
		{"service", func(ctx context.Context, address string) error {
			_, err := NewServiceClient(WithMaxBody(1<<20)).Call(ctx, address, Request{Method: "GET", Path: "/"})
			return err
		}},
	}
	for _, s := range sends {
		for _, c := range calls {
			t.Run(s.name+", "+c.name, func(t *testing.T) {
				is := is.New(t)
				address, written := endlessUpstream(t, s.begin, s.text)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				is.True(c.call(ctx, address) != nil)
				is.NoErr(ctx.Err()) // it did not wait for its deadline
				is.True(<-written < maxBytesTaken)
			})
		}
	}
}
