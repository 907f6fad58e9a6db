package mangoupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// State implements Engine.
func (c *Client) State(ctx context.Context, address string) (*mangomessage.EngineState, error) {
	state := new(mangomessage.EngineState)
	return state, c.exchangeJSON(ctx, c.keepAlive, "State", address, "/v1/state", nil, state)
}

// Events implements Engine.
func (c *Client) Events(ctx context.Context, address string, after uint64) (*mangomessage.CacheEvents, error) {
	events := new(mangomessage.CacheEvents)
	path := "/v1/events?After=" + strconv.FormatUint(after, 10)
	return events, c.exchangeJSON(ctx, c.keepAlive, "Events", address, path, nil, events)
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, address string, cancel *mangomessage.Cancel) error {
	return c.exchangeJSON(ctx, c.singleUse, "Cancel", address, "/v1/cancel", cancel, nil)
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, address string, transfer *mangomessage.Transfer) (*mangomessage.Transfer, error) {
	full := new(mangomessage.Transfer)
	return full, c.exchangeBounded(ctx, c.singleUse, "Export", address, "/v1/export", transfer, full, c.options.maxBody)
}

// Import implements Engine.
func (c *Client) Import(ctx context.Context, address string, transfer *mangomessage.Transfer) error {
	return c.exchangeJSON(ctx, c.singleUse, "Import", address, "/v1/import", transfer, nil)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, address string, order *mangomessage.Order) (*mangomessage.OrderReply, error) {
	reply := new(mangomessage.OrderReply)
	return reply, c.exchangeJSON(ctx, c.singleUse, "Order", address, "/v1/orders", order, reply)
}

// exchangeJSON is exchangeBounded for a reply of at most maxReport bytes.
func (c *Client) exchangeJSON(ctx context.Context, transport *http.Transport, op, address, path string, in, out any) error {
	return c.exchangeBounded(ctx, transport, op, address, path, in, out, min(maxReport, c.options.maxBody))
}

// exchangeBounded sends in as JSON with POST, or a GET request if in is nil, and decodes the JSON reply, of at most maxBody bytes,
// into out unless it is nil.
func (c *Client) exchangeBounded(
	ctx context.Context, transport *http.Transport, op, address, path string, in, out any, maxBody int64,
) error {
	request, err := jsonRequest(ctx, address, path, in)
	if err != nil {
		return c.options.hooks.failed(address, &Error{Op: op, Kind: KindNotSent, Err: err})
	}
	answer, failed := roundTrip(transport, request, op, maxBody)
	if failed == nil {
		failed = decodeReply(answer, op, out)
	}
	if failed != nil {
		return c.options.hooks.failed(address, failed)
	}
	return nil
}

// jsonRequest returns a POST request with in as JSON, or a GET request if in is nil.
func jsonRequest(ctx context.Context, address, path string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// decodeReply decodes the body of a reply into out unless it is nil. It returns an error if the status is not 2xx.
func decodeReply(answer reply, op string, out any) *Error {
	if answer.status < 200 || answer.status > 299 {
		failed := statusError(&http.Response{
			StatusCode: answer.status,
			Status:     strconv.Itoa(answer.status),
			Body:       io.NopCloser(bytes.NewReader(answer.body)),
		})
		failed.Op = op
		return failed
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer.body, out); err != nil {
		return &Error{Op: op, Kind: KindProtocol, Err: errors.New("the reply is not the expected JSON: " + err.Error())}
	}
	return nil
}
