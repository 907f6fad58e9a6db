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

// maxReply bounds an answer of the operators' API; a book of 17,000 customers has about 5 MiB.
const maxReplySize = 64 << 20

// Operators is the client of the operators' API. It tries its addresses in turn.
type Operators struct {
	baseURLs []string
	token    string
	options  options
}

// NewOperators returns a client for entry hosts that are equal in what they answer. The error is an *Error.
func NewOperators(addresses []string, token string, opts ...Option) (*Operators, error) {
	c := &Operators{token: token, options: newOptions(opts)}
	for _, a := range addresses {
		base, err := baseURL(a)
		if err != nil {
			return nil, err
		}
		c.baseURLs = append(c.baseURLs, base)
	}
	if len(c.baseURLs) == 0 {
		return nil, &Error{Op: "NewOperators", Kind: KindInvalid, Err: errors.New("no address is given")}
	}
	return c, nil
}

// Entries returns the entries of a kind (Profile, Alias, Customer, HostMark), or all for an empty kind.
func (c *Operators) Entries(ctx context.Context, kind string) (*mangomessage.EntryList, error) {
	reply := &mangomessage.EntryList{}
	return reply, c.send(ctx, http.MethodGet, "/v1/entries", url.Values{"Kind": {kind}}, nil, reply)
}

// Propose has all changes accepted or none. Attempts repeat the ids of the changes; a conflict with one's own
// accepted change is a success.
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

// History returns the latest changes of a name, or of all names for an empty one.
func (c *Operators) History(ctx context.Context, name string) (*mangomessage.EntryList, error) {
	reply := &mangomessage.EntryList{}
	return reply, c.send(ctx, http.MethodGet, "/v1/history", url.Values{"Name": {name}}, nil, reply)
}

// Explain returns where a request would go and why.
func (c *Operators) Explain(ctx context.Context, request *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error) {
	reply := &mangomessage.ExplainReply{}
	return reply, c.send(ctx, http.MethodPost, "/v1/explain", nil, request, reply)
}

// Hosts returns the host directory of the first entry host that answers.
func (c *Operators) Hosts(ctx context.Context) (*mangomessage.HostReports, error) {
	reply := &mangomessage.HostReports{}
	return reply, c.send(ctx, http.MethodGet, "/v1/hosts", nil, nil, reply)
}

// send tries all addresses for some rounds while the failure is one that another attempt may cure.
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

func isRetryable(err error) bool {
	var failure *Error
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Kind == KindUnreachable || failure.Kind == KindUnavailable || failure.Kind == KindUnknown
}

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
		return &Error{Op: method, Kind: KindUnreachable, Err: errors.Wrapf(err, "answer of %s", address)}
	}
	if response.StatusCode != http.StatusOK {
		return operatorError(method+" "+address, response.StatusCode, answer)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(answer, reply); err != nil {
		return &Error{Op: method, Kind: KindInternal, Err: errors.Wrapf(err, "answer of %s", address)}
	}
	return nil
}

func operatorError(op string, status int, answer []byte) error {
	var body mangomessage.OperatorError
	message := http.StatusText(status)
	if protojson.Unmarshal(answer, &body) == nil && body.GetMessage() != "" {
		message = body.GetMessage()
	}
	return &Error{Op: op, Kind: kindOfStatus(status), Present: body.GetPresent(), Reason: body.GetKind(), Err: errors.New(message)}
}

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
