package mangoupstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

var _ Engine = (*Client)(nil)

// Client is an Engine over HTTP.
type Client struct {
	options options
	dialer  net.Dialer
	// keepAlive uses kept connections; orders opens one for each request, so that a hung connection is not met twice.
	keepAlive *http.Transport
	singleUse *http.Transport
}

// New returns a client of engines. Close it to drop its idle connections.
func New(opts ...Option) *Client {
	o := newOptions(opts)
	return &Client{
		options:   o,
		dialer:    net.Dialer{Timeout: o.connectTimeout},
		keepAlive: newTransport(o, true),
		singleUse: newTransport(o, false),
	}
}

// Close drops idle connections; streams stay open.
func (c *Client) Close() {
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

func newTransport(o options, keep bool) *http.Transport {
	dialer := net.Dialer{Timeout: o.connectTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !keep,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

// Open starts a stream on a connection of its own. When the engine refuses, the stream is nil, Opened has the reason
// and the error is KindRefused or KindNoState.
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

// handshake sends the request header and Open and reads the response header and Opened.
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
	response, err := http.ReadResponse(bufio.NewReader(s.conn), request)
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

func openRefusedError(reason string) *Error {
	kind := KindRefused
	if reason == "NoState" {
		kind = KindNoState
	}
	return &Error{Op: "Open", Kind: kind, Err: errors.New(reason)}
}

// statusError turns a response that is not 200 into an error; 503 means that nothing ran.
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

// classifyError gives an error the kind that holds once bytes may have left for the upstream.
func classifyError(ctx context.Context, op string, err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return &Error{Op: op, Kind: known.Kind, Err: known.Err}
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
