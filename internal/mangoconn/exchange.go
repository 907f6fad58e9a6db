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
	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds several events of a stream.
	readBuffer = 4 << 10
	// maxUnacknowledged is the time after which a connection whose bytes are not acknowledged is given up.
	maxUnacknowledged = 2 * time.Second
	// writeTimeout bounds the time for the upstream to take in a request.
	writeTimeout = 2 * time.Second
)

// Dialer makes connections to upstreams.
type Dialer struct {
	dialer net.Dialer
}

// New returns a dialer.
func New() *Dialer {
	return &Dialer{dialer: net.Dialer{KeepAlive: -1, Control: UserTimeoutControl(maxUnacknowledged)}}
}

// UserTimeoutControl returns a control function for net.Dialer that ends connections whose bytes are not acknowledged for a
// time.
func UserTimeoutControl(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// Response is an answer whose body has not been read.
type Response struct {
	*http.Response
	conn *patientConn
	stop func() bool
}

// Close ends the connection; an upstream that still works on the request sees that.
func (r *Response) Close() {
	r.stop()
	_ = r.conn.Close()
}

// Exchange sends a request and reads the head of the answer. All errors are of type *Error. The end of the context closes
// the connection, also while the body is read. The wait is asked before each wait for bytes.
func (d *Dialer) Exchange(
	ctx context.Context, address string, request *http.Request, connect time.Duration, wait *ReadWaiter,
) (*Response, error) {
	conn, err := d.connect(ctx, address, connect)
	if err != nil {
		return nil, err
	}
	patient := &patientConn{Conn: conn, wait: wait}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, err := exchange(patient, request) //nolint:bodyclose // Close ends the connection, which is all that the body has.
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, classify(ctx, err)
	}
	return &Response{Response: response, conn: patient, stop: stop}, nil
}

func exchange(conn *patientConn, request *http.Request) (*http.Response, error) {
	var out bytes.Buffer
	if err := request.Write(&out); err != nil {
		return nil, errors.WithMessage(err, "encode request")
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return nil, err
	}
	// An upstream may answer before it has read the whole request, so a failed write does not end the exchange.
	_, failed := conn.Write(out.Bytes())
	reader := bufio.NewReaderSize(conn, readBuffer)
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			if failed != nil {
				return nil, failed
			}
			return nil, err
		}
		// Interim answers precede the final one.
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// classify tells what is known of a request that was sent.
func classify(ctx context.Context, err error) error {
	var timeout net.Error
	kind := KindInvalid
	var operation *net.OpError
	switch {
	case ctx.Err() != nil:
		kind = KindCancelled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		kind = KindTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &operation):
		kind = KindBroken
	}
	return &Error{Op: "Exchange", Kind: kind, Err: err}
}

// KindOf returns the kind of an error of Exchange or of reading a body.
func KindOf(ctx context.Context, err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	if errors.As(classify(ctx, err), &e) {
		return e.Kind
	}
	return KindInvalid
}
