package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientConn is a client's connection to a daemon.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// outcome is what a client has got for a request.
type outcome struct {
	id     string
	status int
	// whole says that the answer is complete.
	whole bool
	bytes int
	err   error
	// took is the time from the request to the end.
	took time.Duration
}

// String describes the outcome for the record.
func (o outcome) String() string {
	switch {
	case o.status == 0:
		return fmt.Sprintf("%s: no answer after %d ms: %v", o.id, o.took.Milliseconds(), o.err)
	case !o.whole:
		return fmt.Sprintf("%s: %d, cut after %d bytes and %d ms: %v", o.id, o.status, o.bytes, o.took.Milliseconds(), o.err)
	default:
		return fmt.Sprintf("%s: %d, whole, %d bytes after %d ms", o.id, o.status, o.bytes, o.took.Milliseconds())
	}
}

// connect opens a connection to a daemon.
func connect(ctx context.Context, d *daemon) (*clientConn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", d.front)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// exchange sends a request and reads the whole answer.
func (w *world) exchange(c *clientConn, method, uri string, timeout time.Duration) outcome {
	id := w.nextID()
	o := outcome{id: id}
	begun := time.Now()
	w.note("client sends %s: %s %s", id, method, uri)
	defer func() { w.note("client gets %s", o) }()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, uri, hostName, w.names.AttemptID, id, w.names.Deadline, timeout.Milliseconds())
	if method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	if _, err := io.WriteString(c, text+"\r\n"); err != nil {
		o.err, o.took = err, time.Since(begun)
		return o
	}
	_ = c.SetReadDeadline(begun.Add(timeout + time.Second))
	o = readAnswer(c, method, o)
	o.took = time.Since(begun)
	return o
}

// readAnswer reads the answer to a request and adds it to its outcome.
func readAnswer(c *clientConn, method string, o outcome) outcome {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	n, err := io.Copy(io.Discard, response.Body)
	o.bytes, o.err, o.whole = int(n), err, err == nil
	return o
}

// hostName is the host of all routes.
const hostName = "host.example"

// route returns a public route of the configuration.
func (w *world) route(prefix, kind, service string, attempts int, timeout, target time.Duration) map[string]any {
	return map[string]any{
		"name": strings.Trim(prefix, "/") + "-route", "host": hostName, "prefix": prefix, "routeType": kind, "timeoutMs": timeout.Milliseconds(),
		"latencyTargetMs": target.Milliseconds(), w.names.GapTarget: 200, "priority": 1, "service": service, "maxAttempts": attempts, "public": true,
		"sticky": false, "resumable": false,
	}
}
