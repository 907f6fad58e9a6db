package mangoclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Callers is the client of the callers' API. It never retries a request, since a call may not be safe to run twice.
type Callers struct {
	baseURL string
	key     string
	options options
}

// NewCallers returns a client for the callers' listener of an entry host or the load balancer in front of it; key is the
// API key of the customer. The error is an *Error.
func NewCallers(address, key string, opts ...Option) (*Callers, error) {
	baseURL, err := parseBaseURL(address)
	if err != nil {
		return nil, err
	}
	o := newOptions(append([]Option{WithHTTPClient(&http.Client{})}, opts...))
	return &Callers{baseURL: baseURL, key: key, options: o}, nil
}

// CompletionRequest asks for a completion. If MaxTokens or Deadline is 0, the limit of the profile holds.
type CompletionRequest struct {
	Model     string
	Prompt    string
	MaxTokens int
	Deadline  time.Duration
}

// Completion is the answer to a CompletionRequest. With an error it has what arrived until then.
type Completion struct {
	// Call is the id of the call, for the logs of the entry host.
	Call         string
	Text         string
	FinishReason string
	Tokens       int
}

// ServiceRequest is a call to a plain service, which Name names. Key is the idempotency key; it is required if the profile
// is not idempotent.
type ServiceRequest struct {
	Name        string
	Path        string
	ContentType string
	Key         string
	Body        []byte
	Deadline    time.Duration
}

// ServiceAnswer is the HTTP response of a plain service. Its status may also be that of an error.
type ServiceAnswer struct {
	// Call is the id of the call, for the logs of the entry host.
	Call        string
	Status      int
	ContentType string
	Body        []byte
}

// completionBody is the JSON body of a request for a completion.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
}

// completionResponse is the JSON body of an answer, and the data of an event of a streamed one.
type completionResponse struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// Complete runs a completion and returns the whole answer. The error is an *Error with the Outcome.
func (c *Callers) Complete(ctx context.Context, request CompletionRequest) (Completion, error) {
	response, err := c.postCompletion(ctx, request, false)
	if err != nil {
		return Completion{}, err
	}
	defer func() { _ = response.Body.Close() }()
	completion := Completion{Call: response.Header.Get("Mangopath-Call")}
	var answer completionResponse
	err = json.NewDecoder(response.Body).Decode(&answer)
	if err != nil || len(answer.Choices) != 1 || answer.Choices[0].FinishReason == "" {
		return completion, truncatedError(completion.Call, err)
	}
	completion.Text, completion.FinishReason = answer.Choices[0].Text, answer.Choices[0].FinishReason
	completion.Tokens = answer.Usage.CompletionTokens
	return completion, nil
}

// Call calls a plain service. The error is an *Error with the Outcome.
func (c *Callers) Call(ctx context.Context, request ServiceRequest) (ServiceAnswer, error) {
	header := http.Header{}
	if request.Key != "" {
		header.Set("Idempotency-Key", request.Key)
	}
	if request.ContentType != "" {
		header.Set("Content-Type", request.ContentType)
	}
	response, err := c.post(ctx, "/v1/services/"+request.Name+request.Path, request.Body, request.Deadline, header)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := ServiceAnswer{
		Call: response.Header.Get("Mangopath-Call"), Status: response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
	}
	if answer.Body, err = io.ReadAll(io.LimitReader(response.Body, maxReplySize)); err != nil {
		return answer, truncatedError(answer.Call, err)
	}
	return answer, nil
}

// postCompletion sends a request for a completion and returns the response with its body open.
func (c *Callers) postCompletion(ctx context.Context, request CompletionRequest, stream bool) (*http.Response, error) {
	body, err := json.Marshal(completionBody{request.Model, request.Prompt, request.MaxTokens, stream})
	if err != nil {
		return nil, &Error{Op: "Complete", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return c.post(ctx, "/v1/completions", body, request.Deadline, http.Header{"Content-Type": {"application/json"}})
}

// post sends a request and returns the response with its body open if the entry host marked it as an answer. Any other
// response is an *Error.
func (c *Callers) post(ctx context.Context, path string, body []byte, deadline time.Duration, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: path, Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	// With GetBody set, net/http would by itself resend a request that has an idempotency key.
	request.GetBody = nil
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+c.key)
	if deadline > 0 {
		request.Header.Set("Mangopath-Deadline-Ms", strconv.FormatInt(max(deadline.Milliseconds(), 1), 10))
	}
	response, err := c.options.client.Do(request)
	if err != nil {
		return nil, &Error{Op: path, Kind: KindUnreachable, Outcome: "Unknown", Err: errors.WithStack(err)}
	}
	if response.Header.Get("Mangopath-Outcome") == "Answer" {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return nil, callError(path, response.StatusCode, answer)
}

// callError returns the error that the body of a response states. Without one the outcome is Unknown.
func callError(op string, status int, answer []byte) error {
	var body mangomessage.CallErrorBody
	e := &Error{Op: op, Kind: kindOfStatus(status), Outcome: "Unknown", Err: errors.New(http.StatusText(status))}
	if json.Unmarshal(answer, &body) != nil || body.GetError().GetOutcome() == "" {
		return e
	}
	callErr := body.GetError()
	e.Outcome, e.Reason, e.Call, e.Err = callErr.GetOutcome(), callErr.GetKind(), callErr.GetCall(), errors.New(callErr.GetMessage())
	e.RetryAfter = time.Duration(callErr.GetRetryAfterMs()) * time.Millisecond
	if e.Outcome == "Rejected" && e.Kind == KindInternal {
		e.Kind = KindRejected
	}
	return e
}

// truncatedError returns the error of an answer that ended early; err is the cause, or nil if the end marker is missing.
func truncatedError(call string, err error) error {
	if err == nil {
		err = errors.New("the answer ended without an end marker")
	}
	return &Error{Op: "Read", Kind: KindTruncated, Outcome: "Unknown", Call: call, Err: errors.WithStack(err)}
}
