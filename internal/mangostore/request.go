package mangostore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// read sends a GET and decodes the reply into out. It returns false for a reply without content. A failed read has no
// effect, so its errors are never KindUnknown.
func (c *Client) read(ctx context.Context, op, path string, timeout time.Duration, limit int64, out any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return false, &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	reply, err := c.roundTrip(req)
	if err != nil {
		return false, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	defer closeBody(reply)
	switch {
	case reply.StatusCode == http.StatusNoContent:
		return false, nil
	case reply.StatusCode != http.StatusOK:
		return false, statusError(op, reply, KindUnavailable)
	}
	if err := decodeReply(reply.Body, limit, out); err != nil {
		return false, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return true, nil
}

// write sends a POST at most once and decodes the reply into out.
func (c *Client) write(ctx context.Context, op, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, sent := traceSent(ctx)
	req, err := writeRequest(ctx, c.base+path, body)
	if err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	reply, err := c.roundTrip(req)
	if err != nil {
		if !sent.mayHaveBeenSent() {
			return &Error{Op: op, Kind: KindUnavailable, Err: err}
		}
		return &Error{Op: op, Kind: KindUnknown, Err: err}
	}
	defer closeBody(reply)
	if reply.StatusCode != http.StatusOK {
		return statusError(op, reply, KindUnknown)
	}
	if err := decodeReply(reply.Body, maxItemBytes, out); err != nil {
		return &Error{Op: op, Kind: KindUnknown, Err: err}
	}
	return nil
}

// writeRequest returns a POST request without GetBody, which net/http would use to send it again on another connection.
func writeRequest(ctx context.Context, target string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// roundTrip sends a request with the bearer token, if there is one.
func (c *Client) roundTrip(req *http.Request) (*http.Response, error) {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	reply, err := c.transport.RoundTrip(req)
	return reply, errors.WithStack(err)
}

// statusError returns the error for a status code. The kind fallback is for a status that does not tell whether the call
// had an effect.
func statusError(op string, reply *http.Response, fallback Kind) error {
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxErrorBytes))
	if err != nil {
		text = nil
	}
	kind := fallback
	switch reply.StatusCode {
	case http.StatusTooManyRequests:
		kind = KindLimited
	case http.StatusServiceUnavailable:
		kind = KindUnavailable
	case http.StatusGone:
		kind = KindLeaseLost
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusNotFound, http.StatusMethodNotAllowed:
		kind = KindInvalid
	}
	return &Error{Op: op, Kind: kind, Err: errors.Errorf("%s: %s", reply.Status, strings.TrimSpace(string(text)))}
}

// decodeReply decodes JSON of at most limit bytes.
func decodeReply(r io.Reader, limit int64, out any) error {
	raw, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return errors.WithMessage(err, "read reply")
	}
	if int64(len(raw)) > limit {
		return errors.Errorf("reply exceeds %d bytes", limit)
	}
	return errors.WithMessage(json.Unmarshal(raw, out), "decode reply")
}

// closeBody reads the rest of a reply, up to a limit, so that its connection can be reused. After a failure the connection
// is only closed.
func closeBody(reply *http.Response) {
	_, _ = io.CopyN(io.Discard, reply.Body, maxErrorBytes)
	_ = reply.Body.Close()
}

// baseURL returns the URL of an address, which is a host and port or a URL.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimRight(address, "/")
	}
	return "http://" + address
}
