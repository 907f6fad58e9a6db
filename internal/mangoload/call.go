package mangoload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxReply bounds a reply that is not a stream, in bytes.
const maxReply = 64 << 20

// attempt is the reply to one request.
type attempt struct {
	outcome Outcome
	text    string
	tokens  []time.Time
	// retryAfter is 0 when the reply states none.
	retryAfter time.Duration
	detail     string
}

// call sends a call, with retries of NotRun if the plan asks for them.
func (g *Generator) call(ctx context.Context, a arrival, intended time.Time) report {
	deadline := intended.Add(milliseconds(a.kind.DeadlineMs))
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(milliseconds(g.plan.GraceMs)))
	defer cancel()
	r := report{arrival: a}
	var last attempt
	for {
		last = g.try(ctx, a, deadline)
		wait := max(last.retryAfter, milliseconds(g.plan.Retry.PauseMs))
		if last.outcome != NotRun || r.retries >= g.plan.Retry.Max || time.Now().Add(wait).After(deadline) {
			break
		}
		r.retries++
		a.target++
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	r.outcome, r.detail, r.latency = last.outcome, last.detail, time.Since(intended)
	for _, at := range last.tokens {
		r.tokens = append(r.tokens, at.Sub(intended))
	}
	r.wrong = last.outcome == Answered && !a.accepts(last.text)
	if r.wrong {
		r.detail = "wrong answer: " + last.text
	}
	return r
}

// try sends the call to its target, or to the next one while connections are refused, since then nothing was sent.
func (g *Generator) try(ctx context.Context, a arrival, deadline time.Time) attempt {
	var result attempt
	for i := range g.plan.Targets {
		target := g.plan.Targets[(a.target+i)%len(g.plan.Targets)]
		request, err := a.request(ctx, target, deadline)
		if err != nil {
			return attempt{outcome: Malformed, detail: err.Error()}
		}
		result = g.do(ctx, a, request)
		if result.outcome != Refused {
			break
		}
	}
	return result
}

// do sends one request and reads its reply.
func (g *Generator) do(ctx context.Context, a arrival, request *http.Request) attempt {
	reply, err := g.client.Do(request)
	if err != nil {
		return attempt{outcome: failure(ctx, err), detail: err.Error()}
	}
	defer func() { _ = reply.Body.Close() }()
	return a.read(ctx, reply)
}

// failure classifies an error of the transport.
func failure(ctx context.Context, err error) Outcome {
	var operation *net.OpError
	switch {
	case ctx.Err() != nil:
		return Timeout
	case errors.As(err, &operation) && operation.Op == "dial":
		return Refused
	default:
		return NoReply
	}
}

// request builds a request without GetBody, so that the transport never sends it twice.
func (a arrival) request(ctx context.Context, target string, deadline time.Time) (*http.Request, error) {
	url, body := target+"/v1/completions", any(completionRequest{a.kind.Profile, a.prompt, a.kind.MaxTokens, !a.kind.Unary})
	if a.kind.Service {
		url, body = target+"/v1/services/"+a.kind.Profile+"/"+a.kind.Path, map[string]string{"Text": a.prompt}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+a.customer.Key)
	r.Header.Set("Mangopath-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if a.kind.Service {
		r.Header.Set("Idempotency-Key", a.key)
	}
	return r, nil
}

// read reads a reply to its end.
func (a arrival) read(ctx context.Context, reply *http.Response) attempt {
	answered := Outcome(reply.Header.Get("Mangopath-Outcome")) == Answered
	switch {
	case reply.StatusCode != http.StatusOK && (!a.kind.Service || !answered):
		return readError(ctx, reply)
	case a.kind.Service || a.kind.Unary:
		return a.readWhole(ctx, reply)
	default:
		return readStream(ctx, reply.Body)
	}
}

func (a arrival) readWhole(ctx context.Context, reply *http.Response) attempt {
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxReply))
	if err != nil {
		return attempt{outcome: cutOff(ctx), detail: err.Error()}
	}
	if a.kind.Service {
		return attempt{outcome: Answered, text: string(data)}
	}
	var c completion
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 || c.Choices[0].FinishReason == "" {
		return attempt{outcome: Malformed, detail: "no completion in the reply"}
	}
	return attempt{outcome: Answered, text: c.Choices[0].Text}
}

// readError takes the outcome from the header, and from the body when there is no header.
func readError(ctx context.Context, reply *http.Response) attempt {
	var body mangomessage.CallErrorBody
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxReply))
	if err != nil {
		return attempt{outcome: cutOff(ctx), detail: err.Error()}
	}
	result := attempt{outcome: Outcome(reply.Header.Get("Mangopath-Outcome"))}
	result.detail = fmt.Sprintf("status %d: %.200s", reply.StatusCode, data)
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		result.retryAfter = milliseconds(int64(body.Error.RetryAfterMs))
		if result.outcome == "" {
			result.outcome = Outcome(body.Error.Outcome)
		}
	}
	return result.checked()
}

// checked replaces an outcome that the API does not have.
func (a attempt) checked() attempt {
	if a.outcome != NotRun && a.outcome != Unknown && a.outcome != Rejected {
		a.outcome = Malformed
	}
	return a
}

// cutOff is the outcome of a reply that broke off.
func cutOff(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return Timeout
	}
	return Truncated
}

// accepts compares an answer with the expected ones.
func (a arrival) accepts(text string) bool {
	if a.kind.Service {
		var e struct{ Key string }
		return json.Unmarshal([]byte(text), &e) == nil && (e.Key == "" || e.Key == a.key)
	}
	for _, e := range a.kind.Expected {
		if e.Complete(e.Layers, a.prompt, a.kind.MaxTokens).Text == text {
			return true
		}
	}
	return len(a.kind.Expected) == 0
}
