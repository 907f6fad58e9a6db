package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientConn is a connection of a client, which sends one request after the other.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a connection to a daemon.
func dial(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second) //nolint:noctx // It has a timeout.
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *clientConn) close() { _ = c.conn.Close() }

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// complete says that the answer had its end; err is why it has none.
	complete bool
	err      error
}

// String returns what the record says of the answer.
func (a answer) String() string {
	if !a.complete {
		return fmt.Sprintf("status %d, %d bytes, broken off (%v)", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete", a.status, len(a.body))
}

// send sends a request and waits for its answer, until the client's time is over.
func (c *clientConn) send(method, path, id, body string, wait time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: review.example\r\nAuthorization: Token key-1\r\n%s: %s\r\n%s: %d\r\n", method, path, names.Headers.ID, id, names.Headers.Deadline, wait.Milliseconds())
	if method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), complete: err == nil, err: err}
}

// wholeStream reports whether the body of a stream has all events of a sound one, in order and no other.
func wholeStream(id, body string, length int) bool {
	var sound strings.Builder
	for n := 1; n <= length; n++ {
		sound.WriteString(eventOf(id, n))
	}
	return body == sound.String()
}
