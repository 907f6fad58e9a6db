package mangoupstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"mangopath.org/mangopath/internal/mangoconn"
)

var _ Service = (*ServiceClient)(nil)

// ServiceClient implements Service over HTTP.
type ServiceClient struct {
	options options
	// keepAlive reuses connections. singleUse opens one for each request, since net/http sends a request again only if it
	// failed on a reused connection.
	keepAlive *http.Transport
	singleUse *http.Transport
}

// NewServiceClient returns a client for plain services. Close closes its idle connections.
func NewServiceClient(opts ...Option) *ServiceClient {
	o := newOptions(opts)
	return &ServiceClient{options: o, keepAlive: newTransport(o, true), singleUse: newTransport(o, false)}
}

// Close closes idle connections.
func (c *ServiceClient) Close() {
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Call sends the request once. The transport may send it again, but only if it is idempotent.
func (c *ServiceClient) Call(ctx context.Context, address string, call Request) (Answer, error) {
	request, err := serviceRequest(ctx, address, call)
	if err != nil {
		return Answer{}, c.options.hooks.failed(address, &Error{Op: "Call", Kind: KindNotSent, Err: err})
	}
	transport := c.singleUse
	if call.Idempotent {
		transport = c.keepAlive
	}
	answer, failed := roundTrip(transport, request, "Call", c.options.maxBody)
	if failed != nil {
		return Answer{}, c.options.hooks.failed(address, failed)
	}
	if answer.status == http.StatusServiceUnavailable && strings.EqualFold(answer.header.Get("Not-Executed"), "true") {
		return Answer{}, c.options.hooks.failed(address, &Error{Op: "Call", Kind: KindRefused, Err: errors.New("the service answered that it did not execute the request")})
	}
	return Answer{Status: answer.status, ContentType: answer.header.Get("Content-Type"), Body: answer.body}, nil
}

// serviceRequest returns the HTTP request for a call. The transport can't send it again unless the call is idempotent.
func serviceRequest(ctx context.Context, address string, call Request) (*http.Request, error) {
	path := "/" + strings.TrimPrefix(call.Path, "/")
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.CallID != "" {
		request.Header.Set("Mangopath-Call", call.CallID)
	}
	if !call.Idempotent {
		// net/http sends a request with an Idempotency-Key again if GetBody is set or there is no body.
		request.GetBody = nil
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return request, nil
}

// reply is an HTTP response whose body has been read.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// maxWrites bounds the results of writes of one request that are kept.
const maxWrites = 8

// awaitWritten waits until a request has been written, and returns the error of the last write. An answer that ends with its connection is
// complete only if there is none: a reset that reached the write leaves the reads a plain end.
func awaitWritten(ctx context.Context, written <-chan error) error {
	select {
	case err := <-written:
		for {
			select {
			case err = <-written:
			default:
				return err
			}
		}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// roundTrip sends a request and reads the response. It follows no redirects. If it fails before there is a connection,
// nothing was sent; if it fails later, the request may have run.
func roundTrip(transport *http.Transport, request *http.Request, op string, maxBody int64) (reply, *Error) {
	var connected atomic.Bool
	// The transport may write a request more than once; the last result is that of the answer's connection.
	written := make(chan error, maxWrites)
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			select {
			case written <- i.Err:
			default:
			}
		},
	})
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if !connected.Load() {
			return reply{}, &Error{Op: op, Kind: KindNotSent, Err: err}
		}
		return reply{}, classifyError(ctx, op, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := mangoconn.CheckStatus(response.StatusCode); err != nil {
		return reply{}, &Error{Op: op, Kind: KindProtocol, Err: err}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err != nil {
		return reply{}, classifyError(ctx, op, err)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		if err := awaitWritten(ctx, written); err != nil {
			return reply{}, classifyError(ctx, op, err)
		}
	}
	if int64(len(body)) > maxBody {
		return reply{}, &Error{Op: op, Kind: KindProtocol, Err: errors.New("the reply exceeds the maximum body length")}
	}
	return reply{status: response.StatusCode, header: response.Header, body: body}, nil
}
