package mangoupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// scriptedUpstream answers the requests on each connection by the answers in turn, and keeps the connection open after the last one.
// The channel gets the number of each connection with each request on it.
func scriptedUpstream(t *testing.T, answers ...string) (address string, requests <-chan int) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan int, 16)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for n := 1; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			running.Go(func() { answerInTurn(conn, answers, func() { seen <- n }) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		running.Wait()
	})
	return l.Addr().String(), seen
}

// answerInTurn answers the requests on a connection until it ends.
func answerInTurn(conn net.Conn, answers []string, received func()) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, a := range answers {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		received()
		if r.URL.Path != "/v1/stream" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(conn, a)
	}
	_, _ = io.Copy(io.Discard, reader)
}

// opened is the first line of a stream that an engine has accepted.
const opened = `{"Accepted":true}` + "\n"

// Guards against bytes after an invalid status that are taken for the reply, against such a status that is passed on to a caller,
// and against a call that counts as not run because of one.
func TestInvalidStatus(t *testing.T) {
	replies := map[string]string{
		"stream": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(opened), opened),
		"other":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"503":    "HTTP/1.1 503 X\r\nNot-Executed: true\r\nContent-Length: 2\r\n\r\n{}",
	}
	statuses := []struct {
		name, line string
		inBody     bool
	}{
		{"000", "HTTP/1.1 000 X", false},
		{"000 with an answer as its body", "HTTP/1.1 000 X", true},
		{"000 that says not executed", "HTTP/1.1 000 X\r\nNot-Executed: true", false},
		{"099", "HTTP/1.1 099 X", false},
		{"101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade", false},
		{"600", "HTTP/1.1 600 X\r\nContent-Length: 0", false},
		{"999 with an answer as its body", "HTTP/1.1 999 X", true},
	}
	calls := []struct {
		name, reply string
		call        func(ctx context.Context, address string) error
	}{
		{"stream", "stream", func(ctx context.Context, address string) error {
			s, _, err := New().Open(ctx, address, &mangomessage.Open{})
			if err == nil {
				_ = s.Close()
			}
			return err
		}},
		{"state", "other", func(ctx context.Context, address string) error {
			c := New()
			defer c.Close()
			_, err := c.State(ctx, address)
			return err
		}},
		{"order", "other", func(ctx context.Context, address string) error {
			_, err := New().Order(ctx, address, &mangomessage.Order{})
			return err
		}},
		{"idempotent service", "other", func(ctx context.Context, address string) error {
			c := NewServiceClient()
			defer c.Close()
			_, err := c.Call(ctx, address, Request{Method: "GET", Path: "/", Idempotent: true})
			return err
		}},
		{"service", "503", func(ctx context.Context, address string) error {
			_, err := NewServiceClient().Call(ctx, address, Request{Method: "POST", Path: "/", Body: []byte("x")})
			return err
		}},
	}
	for _, s := range statuses {
		for _, c := range calls {
			t.Run(s.name+", "+c.name, func(t *testing.T) {
				is := is.New(t)
				header := ""
				if s.inBody {
					header = fmt.Sprintf("Content-Length: %d\r\n", len(replies[c.reply]))
				}
				address, requests := scriptedUpstream(t, s.line+"\r\n"+header+"\r\n"+replies[c.reply])
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err := c.call(ctx, address)
				var failed *Error
				is.True(errors.As(err, &failed))
				is.Equal(failed.Kind, KindProtocol)
				is.NoErr(ctx.Err()) // it did not wait for its deadline
				is.Equal(len(requests), 1)
			})
		}
	}
}

// Guards against a connection that is used again after an invalid status on it, so that what followed the status is taken for the
// answer to the next call.
func TestInvalidStatusOnKeptConnection(t *testing.T) {
	is := is.New(t)
	answer := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	address, requests := scriptedUpstream(t, answer("first"), "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"+answer("false"), answer("third"))
	c := NewServiceClient()
	defer c.Close()
	call := func() (string, error) {
		a, err := c.Call(t.Context(), address, Request{Method: "GET", Path: "/", Idempotent: true})
		return string(a.Body), err
	}
	body, err := call()
	is.NoErr(err)
	is.Equal(body, "first")
	body, err = call()
	is.True(err != nil)
	is.Equal(body, "")
	body, err = call()
	is.NoErr(err)
	is.Equal(body, "first") // that of a new connection
	var conns []string
	for range len(requests) {
		conns = append(conns, fmt.Sprint(<-requests))
	}
	is.Equal(strings.Join(conns, " "), "1 1 2")
}
