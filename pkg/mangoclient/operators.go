package mangoclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxReplySize bounds the body of an answer, in bytes; the entries of 17,000 customers take about 5 MiB.
const maxReplySize = 64 << 20

// Operators is the client of the operators' API. It tries the addresses of the entry hosts in turn until one answers.
type Operators struct {
	baseURLs []string
	token    string
	options  options
}

// NewOperators returns a client for entry hosts of which any may answer a request. The error is an *Error.
func NewOperators(addresses []string, token string, opts ...Option) (*Operators, error) {
	c := &Operators{token: token, options: newOptions(opts)}
	for _, a := range addresses {
		base, err := parseBaseURL(a)
		if err != nil {
			return nil, err
		}
		c.baseURLs = append(c.baseURLs, base)
	}
	if len(c.baseURLs) == 0 {
		return nil, &Error{Op: "NewOperators", Kind: KindInvalid, Err: errors.New("no address of an entry host is given")}
	}
	return c, nil
}

// Entries returns the entries of a kind (Profile, Alias, Customer, HostMark), or those of all kinds if kind is empty.
func (c *Operators) Entries(ctx context.Context, kind string) (*mangomessage.EntryList, error) {
	reply := &mangomessage.EntryList{}
	return reply, c.send(ctx, http.MethodGet, "/v1/entries", url.Values{"Kind": {kind}}, nil, reply)
}

// Propose proposes changes that are accepted together or not at all. With dryRun they are only checked. Retries carry the
// same change ids, so a conflict with one of these changes means that an earlier attempt was accepted.
func (c *Operators) Propose(ctx context.Context, changes []*mangomessage.Change, dryRun bool) (*mangomessage.ChangeReply, error) {
	reply := &mangomessage.ChangeReply{}
	query := url.Values{"DryRun": {strconv.FormatBool(dryRun)}}
	err := c.send(ctx, http.MethodPost, "/v1/changes", query, &mangomessage.ChangeList{Changes: changes}, reply)
	var failure *Error
	if errors.As(err, &failure) && failure.Kind == KindConflict && !dryRun && containsChange(failure.Present, changes) {
		return &mangomessage.ChangeReply{Revision: failure.Present.GetRevision()}, nil
	}
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// containsChange reports whether the present entry was made by one of the changes.
func containsChange(present *mangomessage.Entry, changes []*mangomessage.Change) bool {
	for _, ch := range changes {
		if id := ch.GetEntry().GetChangeId(); id != "" && id == present.GetChangeId() {
			return true
		}
	}
	return false
}

// Status returns the status of the first entry host that answers.
func (c *Operators) Status(ctx context.Context) (*mangomessage.OperatorStatus, error) {
	reply := &mangomessage.OperatorStatus{}
	return reply, c.send(ctx, http.MethodGet, "/v1/status", nil, nil, reply)
}

// History returns the latest entries of a name, newest first, or those of all names if name is empty.
func (c *Operators) History(ctx context.Context, name string) (*mangomessage.EntryList, error) {
	reply := &mangomessage.EntryList{}
	return reply, c.send(ctx, http.MethodGet, "/v1/history", url.Values{"Name": {name}}, nil, reply)
}

// Explain returns to which upstreams a request would be routed and why.
func (c *Operators) Explain(ctx context.Context, request *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error) {
	reply := &mangomessage.ExplainReply{}
	return reply, c.send(ctx, http.MethodPost, "/v1/explain", nil, request, reply)
}

// Hosts returns the host directory of the first entry host that answers.
func (c *Operators) Hosts(ctx context.Context) (*mangomessage.HostReports, error) {
	reply := &mangomessage.HostReports{}
	return reply, c.send(ctx, http.MethodGet, "/v1/hosts", nil, nil, reply)
}

// send sends a request to the addresses in turn until one succeeds or fails with an error that a retry can't cure. It goes
// through all addresses as often as the options say, with a delay between two rounds.
func (c *Operators) send(ctx context.Context, method, path string, query url.Values, body, reply proto.Message) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = protojson.Marshal(body); err != nil {
			return &Error{Op: path, Kind: KindInvalid, Err: errors.WithStack(err)}
		}
	}
	var last error
	for round := range c.options.rounds {
		if round > 0 && !sleepContext(ctx, c.options.roundDelay) {
			return last
		}
		for _, base := range c.baseURLs {
			last = c.sendOnce(ctx, method, base+path+"?"+query.Encode(), data, reply)
			if !isRetryable(last) || ctx.Err() != nil {
				return last
			}
		}
	}
	return last
}

// isRetryable reports whether another attempt may succeed. Requests of operators are safe to repeat.
func isRetryable(err error) bool {
	var failure *Error
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Kind == KindUnreachable || failure.Kind == KindUnavailable || failure.Kind == KindUnknown
}

// sleepContext waits for d and returns false if the context ends before.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// sendOnce sends a request to one address and decodes the answer into reply.
func (c *Operators) sendOnce(ctx context.Context, method, address string, data []byte, reply proto.Message) error {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(data))
	if err != nil {
		return &Error{Op: address, Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.options.client.Do(request)
	if err != nil {
		return &Error{Op: method, Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	if err != nil {
		return &Error{Op: method, Kind: KindUnreachable, Err: errors.Wrapf(err, "read answer of %s", address)}
	}
	if response.StatusCode != http.StatusOK {
		return operatorError(method+" "+address, response.StatusCode, answer)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(answer, reply); err != nil {
		return &Error{Op: method, Kind: KindInternal, Err: errors.Wrapf(err, "decode answer of %s", address)}
	}
	return nil
}

// operatorError returns the error that the body of a response states, or else one with the text of the HTTP status.
func operatorError(op string, status int, answer []byte) error {
	var body mangomessage.OperatorError
	message := http.StatusText(status)
	if protojson.Unmarshal(answer, &body) == nil && body.GetMessage() != "" {
		message = body.GetMessage()
	}
	return &Error{Op: op, Kind: kindOfStatus(status), Present: body.GetPresent(), Reason: body.GetKind(), Err: errors.New(message)}
}

// kindOfStatus returns the kind of error for an HTTP status.
func kindOfStatus(status int) Kind {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return KindInvalid
	case http.StatusUnauthorized, http.StatusForbidden:
		return KindUnauthorised
	case http.StatusNotFound:
		return KindNotFound
	case http.StatusConflict:
		return KindConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return KindUnavailable
	case http.StatusGatewayTimeout:
		return KindUnknown
	default:
		return KindInternal
	}
}
