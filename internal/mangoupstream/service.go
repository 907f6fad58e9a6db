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
)

var _ Service = (*ServiceClient)(nil)

// ServiceClient is a Service over HTTP.
type ServiceClient struct {
	options options
	kept    *http.Transport
	// single opens a connection for each request: net/http repeats requests on reused connections only.
	single *http.Transport
}

// NewServiceClient returns a client of plain services. Close it to drop its idle connections.
func NewServiceClient(opts ...Option) *ServiceClient {
	o := collect(opts)
	return &ServiceClient{options: o, kept: transport(o, true), single: transport(o, false)}
}

// Close drops idle connections.
func (c *ServiceClient) Close() {
	c.kept.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Call sends the request once; only the transport may repeat it, and only when it is idempotent.
func (c *ServiceClient) Call(ctx context.Context, address string, call Request) (Answer, error) {
	request, err := serviceRequest(ctx, address, call)
	if err != nil {
		return Answer{}, c.options.hooks.failed(address, &Error{Op: "Call", Kind: KindNotSent, Err: err})
	}
	via := c.single
	if call.Idempotent {
		via = c.kept
	}
	answer, failed := send(via, request, "Call", c.options.maxBody)
	if failed != nil {
		return Answer{}, c.options.hooks.failed(address, failed)
	}
	if answer.status == http.StatusServiceUnavailable && strings.EqualFold(answer.header.Get("Not-Executed"), "true") {
		return Answer{}, c.options.hooks.failed(address, &Error{Op: "Call", Kind: KindRefused, Err: errors.New("not executed")})
	}
	return Answer{Status: answer.status, ContentType: answer.header.Get("Content-Type"), Body: answer.body}, nil
}

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
		// net/http treats a request with an Idempotency-Key as replayable if GetBody is set or the body is empty.
		request.GetBody = nil
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return request, nil
}

// reply is a whole HTTP response.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// send makes one round trip and follows no redirect. Without a connection nothing was sent; after that the request
// may have run.
func send(via *http.Transport, request *http.Request, op string, limit int64) (reply, *Error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := via.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if !connected.Load() {
			return reply{}, &Error{Op: op, Kind: KindNotSent, Err: err}
		}
		return reply{}, classify(ctx, op, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return reply{}, classify(ctx, op, err)
	}
	if int64(len(body)) > limit {
		return reply{}, &Error{Op: op, Kind: KindProtocol, Err: errors.New("reply is longer than allowed")}
	}
	return reply{status: response.StatusCode, header: response.Header, body: body}, nil
}
