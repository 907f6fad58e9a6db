package mangoconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// tcpUserTimeout is the time after which the kernel closes a connection on which sent bytes are not acknowledged.
	tcpUserTimeout = 2 * time.Second
	// writeTimeout bounds the time for writing a request.
	writeTimeout = 2 * time.Second
)

// Dialer opens a connection to an upstream for each request; Pool keeps connections in front of it. It is safe for concurrent use.
type Dialer struct {
	dialer net.Dialer
}

// New returns a dialer without TCP keep-alive, whose connections fail if sent bytes are not acknowledged.
func New() *Dialer {
	return &Dialer{dialer: net.Dialer{KeepAlive: -1, Control: UserTimeoutControl(tcpUserTimeout)}}
}

// UserTimeoutControl returns a control function for net.Dialer that sets TCP_USER_TIMEOUT: the kernel closes a connection on
// which sent bytes are not acknowledged for the time limit.
func UserTimeoutControl(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = setUserTimeout(fd, limit)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// Response is an answer of which only the head has been read.
type Response struct {
	*http.Response
	conn *waitingConn
	// stopAfterFunc keeps the end of the context from closing the connection.
	stopAfterFunc func() bool
	// reader is what the body reads from; it may have bytes that follow the answer.
	reader *bufio.Reader
	body   *countedBody
	// sentWhole says that the whole request was written.
	sentWhole bool
	// ConnectTime is the time that it took to make the connection; 0 if it is a kept one.
	ConnectTime time.Duration
	// reusable says that the connection may be kept, and keep keeps it for a time; nil if no pool wants it.
	reusable bool
	keep     func(idle time.Duration)
	closed   bool
}

// Close closes the connection, which tells an upstream that still works on the request that no one waits for its answer. After
// AllowReuse a connection whose answer has been read to its end is kept instead. Further calls have no effect.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	// The connection is closed already, or about to be, if the context has ended.
	if r.stopAfterFunc() && r.canBeKept() {
		r.conn.waiter.detach()
		r.keep(idleTime(r.Header) - time.Since(r.body.endedAt))
		return
	}
	_ = r.conn.Close()
}

// Exchange sends a request and reads the head of the answer, of which it takes at most MaxHeadBytes. All errors are of type
// *Error. The end of the context closes the connection, also while the body is read. The time without progress, also while
// the body is read, is bounded by waiter; the whole head counts as progress, a part of it does not.
func (d *Dialer) Exchange(
	ctx context.Context, address string, request *http.Request, connectTimeout time.Duration, waiter *ReadWaiter,
) (*Response, error) {
	begun := time.Now()
	conn, err := d.connect(ctx, address, connectTimeout)
	if err != nil {
		return nil, err
	}
	took := time.Since(begun)
	response, err := exchangeOn(ctx, conn, request, waiter)
	if err != nil {
		return nil, err
	}
	response.ConnectTime = took
	return response, nil
}

// exchangeOn is Exchange over an open connection, which belongs to the exchange from then on.
func exchangeOn(ctx context.Context, conn net.Conn, request *http.Request, waiter *ReadWaiter) (*Response, error) {
	waiter.Progress()
	waiting := &waitingConn{Conn: conn, waiter: waiter}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, err := writeAndReadHead(waiting, request)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, classifyError(ctx, err)
	}
	response.stopAfterFunc = stop
	return response, nil
}

// writeAndReadHead writes a request and reads the head of the final answer.
func writeAndReadHead(conn *waitingConn, request *http.Request) (*Response, error) {
	var out bytes.Buffer
	if err := request.Write(&out); err != nil {
		return nil, errors.WithMessage(err, "encode request")
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return nil, err
	}
	// An upstream may answer before it has read the whole request, so a failed write does not end the exchange.
	_, writeErr := conn.Write(out.Bytes())
	response, err := readHead(conn, request)
	if err != nil && writeErr != nil {
		return nil, writeErr
	}
	if err != nil {
		return nil, err
	}
	response.sentWhole = writeErr == nil
	if writeErr != nil && !errors.Is(writeErr, os.ErrDeadlineExceeded) && response.endsWithConnection() {
		response.body.endErr = writeErr
	}
	return response, nil
}

// readHead reads the head of the final answer and records it as progress.
func readHead(conn *waitingConn, request *http.Request) (*Response, error) {
	head, reader, err := readResponse(conn, request) //nolint:bodyclose // Close ends the connection, which is all that the body has.
	if err != nil {
		return nil, err
	}
	conn.waiter.Progress()
	body := newCountedBody(head.Body)
	head.Body = body
	return &Response{Response: head, conn: conn, reader: reader, body: body}, nil
}

// classifyError returns an *Error for a request that may have been sent, with the kind of failure that err shows.
func classifyError(ctx context.Context, err error) error {
	var netErr net.Error
	kind := KindInvalid
	var opErr *net.OpError
	switch {
	case ctx.Err() != nil:
		kind = KindCancelled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		kind = KindTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &opErr):
		kind = KindBroken
	}
	return &Error{Op: "Exchange", Kind: kind, Err: err}
}

// KindOf returns the kind of an error of Exchange or of reading the body of its response under the same context.
func KindOf(ctx context.Context, err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	if errors.As(classifyError(ctx, err), &e) {
		return e.Kind
	}
	return KindInvalid
}
