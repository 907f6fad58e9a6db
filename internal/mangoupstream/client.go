package mangoupstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"time"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/pkg/mangomessage"
)

var _ Engine = (*Client)(nil)

// Client implements Engine over HTTP.
type Client struct {
	options options
	dialer  net.Dialer
	// keepAlive reuses connections. singleUse opens one for each request, so that a request does not get a connection that
	// already hangs.
	keepAlive *http.Transport
	singleUse *http.Transport
}

// New returns a client for engines. Close closes its idle connections.
func New(opts ...Option) *Client {
	o := newOptions(opts)
	return &Client{
		options:   o,
		dialer:    net.Dialer{Timeout: o.connectTimeout},
		keepAlive: newTransport(o, true),
		singleUse: newTransport(o, false),
	}
}

// Close closes idle connections. Streams stay open.
func (c *Client) Close() {
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

func newTransport(o options, keepAlive bool) *http.Transport {
	dialer := net.Dialer{Timeout: o.connectTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		// The default is 10 MiB for each connection.
		MaxResponseHeaderBytes: mangoconn.MaxHeadBytes,
	}
}

// Open opens a stream on a connection of its own. When the engine refuses it, the stream is nil, the error is of
// KindRefused or KindNoState, and Opened, if the engine sent it, has the reason.
func (c *Client) Open(ctx context.Context, address string, open *mangomessage.Open) (Stream, *mangomessage.Opened, error) {
	started := time.Now()
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, c.options.hooks.failed(address, &Error{Op: "Open", Kind: KindNotSent, Err: err})
	}
	c.options.hooks.connected(address, time.Since(started))
	s := newStream(conn, address, c.options)
	stop := context.AfterFunc(ctx, s.abort)
	opened, err := s.handshake(ctx, open)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		s.abort()
		return nil, opened, c.options.hooks.failed(address, classifyError(ctx, "Open", err))
	}
	go s.readResults()
	return s, opened, nil
}

// handshake sends the request header and the Open message, and reads the response header and the Opened message.
func (s *stream) handshake(ctx context.Context, open *mangomessage.Open) (*mangomessage.Opened, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/v1/stream", http.NoBody)
	if err != nil {
		return nil, &Error{Op: "Open", Kind: KindNotSent, Err: err}
	}
	if _, err := s.writer.WriteString("POST /v1/stream HTTP/1.1\r\nHost: " + s.address +
		"\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return nil, err
	}
	s.chunks = httputil.NewChunkedWriter(s.writer)
	if err := s.send(open); err != nil {
		return nil, err
	}
	response, err := mangoconn.ReadResponse(s.conn, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, statusError(response)
	}
	s.initScanner(response.Body)
	opened := new(mangomessage.Opened)
	if err := s.receive(opened); err != nil {
		return nil, err
	}
	if !opened.GetAccepted() {
		return opened, openRefusedError(opened.GetReason())
	}
	return opened, nil
}

// openRefusedError returns the error for the reason that an engine gave for refusing a stream.
func openRefusedError(reason string) *Error {
	kind := KindRefused
	if reason == "NoState" {
		kind = KindNoState
	}
	return &Error{Op: "Open", Kind: kind, Err: errors.New(reason)}
}

// statusError returns the error for an unsuccessful HTTP status. 503 means that the engine did not run the request.
func statusError(response *http.Response) *Error {
	kind := KindProtocol
	if response.StatusCode == http.StatusServiceUnavailable {
		kind = KindRefused
	}
	body := new(mangomessage.CallErrorBody)
	_ = json.NewDecoder(io.LimitReader(response.Body, 64<<10)).Decode(body)
	message := response.Status
	if e := body.GetError(); e != nil {
		message += ": " + e.GetKind() + ": " + e.GetMessage()
		if e.GetKind() == "NoState" {
			kind = KindNoState
		}
	}
	return &Error{Kind: kind, Err: errors.New(message)}
}

// classifyError returns the error of an operation that may have sent bytes to the upstream. It keeps the kind of an *Error.
func classifyError(ctx context.Context, op string, err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return &Error{Op: op, Kind: known.Kind, Err: known.Err}
	}
	if errors.Is(err, mangoconn.ErrHeadTooLarge) || errors.Is(err, mangoconn.ErrInvalidStatus) {
		return &Error{Op: op, Kind: KindProtocol, Err: err}
	}
	if ctx.Err() != nil {
		return &Error{Op: op, Kind: KindTimeout, Err: context.Cause(ctx)}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &Error{Op: op, Kind: KindTimeout, Err: err}
	}
	return &Error{Op: op, Kind: KindLost, Err: err}
}
