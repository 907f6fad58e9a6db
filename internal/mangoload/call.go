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

// maxReplyBytes bounds the body of a reply that is not a stream.
const maxReplyBytes = 64 << 20

// attemptResult holds the outcome of one request and what was read of its reply.
type attemptResult struct {
	outcome Outcome
	text    string
	// tokenTimes are the times at which the tokens of a stream arrived.
	tokenTimes []time.Time
	// retryAfter is the pause that the reply asks for, or 0 when it states none.
	retryAfter time.Duration
	detail     string
}

// sendWithRetries sends a call, and sends it again after the outcome NotRun as often as the plan's retry policy allows and
// the deadline leaves time for. Each retry starts with the next target.
func (g *Generator) sendWithRetries(ctx context.Context, a arrival, intended time.Time) callReport {
	deadline := intended.Add(milliseconds(a.kind.DeadlineMs))
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(milliseconds(g.plan.GraceMs)))
	defer cancel()
	r := callReport{arrival: a}
	var last attemptResult
	for {
		last = g.sendToTargets(ctx, a, deadline)
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
	for _, at := range last.tokenTimes {
		r.tokenTimes = append(r.tokenTimes, at.Sub(intended))
	}
	r.isWrong = last.outcome == Answered && !a.isExpectedAnswer(last.text)
	if r.isWrong {
		r.detail = "wrong answer: " + last.text
	}
	return r
}

// sendToTargets sends the call to its target, or to the next one when the connection is refused: nothing was sent in that
// case, so the call cannot run twice.
func (g *Generator) sendToTargets(ctx context.Context, a arrival, deadline time.Time) attemptResult {
	var result attemptResult
	for i := range g.plan.Targets {
		target := g.plan.Targets[(a.target+i)%len(g.plan.Targets)]
		request, err := a.newRequest(ctx, target, deadline)
		if err != nil {
			return attemptResult{outcome: Malformed, detail: err.Error()}
		}
		result = g.sendRequest(ctx, a, request)
		if result.outcome != Refused {
			break
		}
	}
	return result
}

// sendRequest sends one request and reads its reply.
func (g *Generator) sendRequest(ctx context.Context, a arrival, request *http.Request) attemptResult {
	reply, err := g.client.Do(request)
	if err != nil {
		return attemptResult{outcome: transportOutcome(ctx, err), detail: err.Error()}
	}
	defer func() { _ = reply.Body.Close() }()
	return a.readReply(ctx, reply)
}

// transportOutcome returns the outcome of a request that failed without a reply.
func transportOutcome(ctx context.Context, err error) Outcome {
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

// newRequest builds the request of a call. It clears GetBody, so that the HTTP transport cannot resend the call by itself.
func (a arrival) newRequest(ctx context.Context, target string, deadline time.Time) (*http.Request, error) {
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
		r.Header.Set("Idempotency-Key", a.idempotencyKey)
	}
	return r, nil
}

// readReply reads a reply to its end. A service call counts as answered with any status if the router marks it as an answer.
func (a arrival) readReply(ctx context.Context, reply *http.Response) attemptResult {
	answered := Outcome(reply.Header.Get("Mangopath-Outcome")) == Answered
	switch {
	case reply.StatusCode != http.StatusOK && (!a.kind.Service || !answered):
		return readErrorReply(ctx, reply)
	case a.kind.Service || a.kind.Unary:
		return a.readWholeReply(ctx, reply)
	default:
		return readStreamReply(ctx, reply.Body)
	}
}

// readWholeReply reads a reply that is not a stream.
func (a arrival) readWholeReply(ctx context.Context, reply *http.Response) attemptResult {
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return attemptResult{outcome: brokenReplyOutcome(ctx), detail: err.Error()}
	}
	if a.kind.Service {
		return attemptResult{outcome: Answered, text: string(data)}
	}
	var c completionReply
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 || c.Choices[0].FinishReason == "" {
		return attemptResult{outcome: Malformed, detail: "reply holds no completion with a finish reason"}
	}
	return attemptResult{outcome: Answered, text: c.Choices[0].Text}
}

// readErrorReply takes the outcome of a failed call from the header, or from the body when the header is missing.
func readErrorReply(ctx context.Context, reply *http.Response) attemptResult {
	var body mangomessage.CallErrorBody
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return attemptResult{outcome: brokenReplyOutcome(ctx), detail: err.Error()}
	}
	result := attemptResult{outcome: Outcome(reply.Header.Get("Mangopath-Outcome"))}
	result.detail = fmt.Sprintf("status %d: %.200s", reply.StatusCode, data)
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		result.retryAfter = milliseconds(int64(body.Error.RetryAfterMs))
		if result.outcome == "" {
			result.outcome = Outcome(body.Error.Outcome)
		}
	}
	return result.withValidOutcome()
}

// withValidOutcome replaces an outcome that the API does not define for failed calls by Malformed.
func (a attemptResult) withValidOutcome() attemptResult {
	if a.outcome != NotRun && a.outcome != Unknown && a.outcome != Rejected {
		a.outcome = Malformed
	}
	return a
}

// brokenReplyOutcome returns the outcome of a call whose reply broke off: Timeout if the caller had given up by then.
func brokenReplyOutcome(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return Timeout
	}
	return Truncated
}

// isExpectedAnswer reports whether the text is an acceptable answer. The answer to a service call must not name another
// idempotency key; a completion must equal that of one of the expected models, if the plan has any.
func (a arrival) isExpectedAnswer(text string) bool {
	if a.kind.Service {
		var e struct{ Key string }
		return json.Unmarshal([]byte(text), &e) == nil && (e.Key == "" || e.Key == a.idempotencyKey)
	}
	for _, e := range a.kind.Expected {
		if e.Complete(e.Layers, a.prompt, a.kind.MaxTokens).Text == text {
			return true
		}
	}
	return len(a.kind.Expected) == 0
}
