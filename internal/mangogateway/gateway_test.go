package mangogateway

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// fakeHandlers implements Completer, ServiceCaller and Authenticator by functions and one fixed API key.
type fakeHandlers struct {
	complete func(context.Context, Completion, mangocall.Sink) (mangocall.Result, error)
	call     func(context.Context, ServiceCall) (Answer, error)
}

func (f fakeHandlers) Complete(ctx context.Context, c Completion, s mangocall.Sink) (mangocall.Result, error) {
	return f.complete(ctx, c, s)
}

func (f fakeHandlers) Call(ctx context.Context, c ServiceCall) (Answer, error) { return f.call(ctx, c) }

func (fakeHandlers) Customer(key string) (string, error) {
	if key != "test-key" {
		return "", rejectedError("Customer", mangocall.KindUnauthorised, errors.New("unknown key"))
	}
	return "dierenasiel", nil
}

// echoPrompt completes a prompt with its own words as tokens.
func echoPrompt(_ context.Context, c Completion, sink mangocall.Sink) (mangocall.Result, error) {
	for _, w := range strings.SplitAfter(c.Prompt, " ") {
		if err := sink.Token(w); err != nil {
			return mangocall.Result{}, err
		}
	}
	return mangocall.Result{FinishReason: "stop", Tokens: 2}, nil
}

// startGateway serves a gateway on a free port and returns its URL. Its read timeout is long enough for a busy machine.
func startGateway(t *testing.T, f fakeHandlers) string {
	t.Helper()
	return startGatewayWithReadTimeout(t, f, time.Minute)
}

func startGatewayWithReadTimeout(t *testing.T, f fakeHandlers, readTimeout time.Duration) string {
	t.Helper()
	settings := &mangomessage.CallerSettings{
		Address: "127.0.0.1:0", MaxBody: 4096, MaxHeader: 4096, MaxConnections: 8, ReadTimeout: readTimeout.Milliseconds(),
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	gateway := New(settings, f, f, f, logger, WithMaxPrompt(1024), WithMaxTokens(100))
	listener, err := Listen(t.Context(), settings)
	if err != nil {
		t.Fatal(err)
	}
	server := gateway.Server()
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close(); <-done })
	return "http://" + listener.Addr().String()
}

type testResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// post sends a request with the valid API key; the header is a list of names and values.
func post(t *testing.T, url, body string, header ...string) testResponse {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer test-key")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return testResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return testResponse{response.StatusCode, response.Header, string(data), err}
}

// Guards against answers without their text, finish reason, end marker, outcome or call ID.
func TestCompletionAnswersAreWhole(t *testing.T) {
	is := is.New(t)
	url := startGateway(t, fakeHandlers{complete: echoPrompt}) + "/v1/completions"
	whole := post(t, url, `{"model":"tekst","prompt":"a b","max_tokens":7,"other":{"x":[1]}}`)
	is.NoErr(whole.err)
	is.Equal(whole.status, 200)
	is.Equal(whole.header.Get(headerOutcome), OutcomeAnswer)
	is.True(whole.header.Get(headerCallID) != "")
	is.True(strings.Contains(whole.body, `"choices":[{"index":0,"text":"a b","finish_reason":"stop"}],"usage":{"completion_tokens":2}`))
	streamed := post(t, url, `{"model":"tekst","prompt":"a b","stream":true}`)
	is.NoErr(streamed.err)
	is.Equal(strings.Count(streamed.body, "data: "), 4)
	is.True(strings.Contains(streamed.body, `"finish_reason":"stop"`))
	is.True(strings.HasSuffix(streamed.body, "data: [DONE]\n\n"))
}

// Guards against two readings of a body that gives a field twice: the profile that runs and the one in the answer must be
// the same.
func TestDuplicateModelHasOneReading(t *testing.T) {
	is := is.New(t)
	var names []string
	url := startGateway(t, fakeHandlers{complete: func(ctx context.Context, c Completion, s mangocall.Sink) (mangocall.Result, error) {
		names = append(names, c.RequestedProfile)
		return echoPrompt(ctx, c, s)
	}})
	got := post(t, url+"/v1/completions", `{"model":"a","model":"b","prompt":"p"}`)
	is.Equal(names, []string{"b"})
	is.True(strings.Contains(got.body, `"model":"b"`))
}

// Guards against malformed or oversized requests that reach the completer or get a wrong status.
func TestInvalidRequestsAreRejected(t *testing.T) {
	url := startGateway(t, fakeHandlers{})
	good := `{"model":"m","prompt":"p"}`
	tests := []struct {
		name, path, body string
		header           []string
		status           int
		kind             string
	}{
		{"no key", "/v1/completions", good, []string{"Authorization", ""}, 401, "Unauthorised"},
		{"wrong key", "/v1/completions", good, []string{"Authorization", "Bearer x"}, 401, "Unauthorised"},
		{"wrong scheme", "/v1/completions", good, []string{"Authorization", "Basic test-key"}, 401, "Unauthorised"},
		{"malformed JSON", "/v1/completions", `{"model":`, nil, 400, "Invalid"},
		{"trailing data", "/v1/completions", good + "{}", nil, 400, "Invalid"},
		{"wrong type", "/v1/completions", `{"model":"m","prompt":["p"]}`, nil, 400, "Invalid"},
		{"not UTF-8", "/v1/completions", "{\"model\":\"m\",\"prompt\":\"\xff\"}", nil, 400, "Invalid"},
		{"no model", "/v1/completions", `{"prompt":"p"}`, nil, 400, "Invalid"},
		{"no prompt", "/v1/completions", `{"model":"m"}`, nil, 400, "Invalid"},
		{"max_tokens 0", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":0}`, nil, 400, "Invalid"},
		{"max_tokens above bound", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":101}`, nil, 400, "Invalid"},
		{"long prompt", "/v1/completions", `{"model":"m","prompt":"` + strings.Repeat("p", 2000) + `"}`, nil, 413, "TooLarge"},
		{"long body", "/v1/completions", strings.Repeat(" ", 5000), nil, 413, "TooLarge"},
		{"deadline 0", "/v1/completions", good, []string{headerDeadline, "0"}, 400, "Invalid"},
		{"deadline text", "/v1/completions", good, []string{headerDeadline, "soon"}, 400, "Invalid"},
		{"unknown route", "/v1/chat", good, nil, 404, "UnknownProfile"},
		{"empty idempotency key", "/v1/services/s/book", "", []string{headerIdempotencyKey, ""}, 400, "Invalid"},
		{"long idempotency key", "/v1/services/s/book", "", []string{headerIdempotencyKey, strings.Repeat("k", 256)}, 400, "Invalid"},
		{"parent segment", "/v1/services/s/a/../../t", "", nil, 400, "Invalid"},
		{"escaped parent segment", "/v1/services/s/%2e%2e/t", "", nil, 400, "Invalid"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := post(t, url+tt.path, tt.body, tt.header...)
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			var body mangomessage.CallErrorBody
			is.NoErr(json.Unmarshal([]byte(got.body), &body))
			is.Equal(body.GetError().GetKind(), tt.kind)
			is.Equal(body.GetError().GetOutcome(), "Rejected")
			is.Equal(got.header.Get(headerOutcome), "Rejected")
			is.Equal(body.GetError().GetCall(), got.header.Get(headerCallID))
		})
	}
}

// Guards against an outcome that is changed before it reaches the caller, causes of failures that reach the caller, and a
// panic that ends the process.
func TestErrorsKeepTheirOutcome(t *testing.T) {
	fail := func(kind mangocall.Kind, outcome mangocall.Outcome) error {
		return &mangocall.Error{Op: "Test", Kind: kind, Outcome: outcome, RetryAfter: 1500 * time.Millisecond, Err: errors.New("host secret-host")}
	}
	tests := []struct {
		name    string
		err     error
		status  int
		outcome string
	}{
		{"limit", fail(mangocall.KindLimit, mangocall.NotRun), 429, "NotRun"},
		{"overload", fail(mangocall.KindOverload, mangocall.NotRun), 503, "NotRun"},
		{"deadline", fail(mangocall.KindDeadline, mangocall.Unknown), 504, "Unknown"},
		{"forbidden", fail(mangocall.KindUnauthorised, mangocall.Rejected), 403, "Rejected"},
		{"unknown profile", fail(mangocall.KindUnknownProfile, mangocall.Rejected), 404, "Rejected"},
		{"mismatch", fail(mangocall.KindMismatch, mangocall.Rejected), 409, "Rejected"},
		{"quarantine", fail(mangocall.KindQuarantine, mangocall.Rejected), 422, "Rejected"},
		{"wrapped", errors.Wrap(fail(mangocall.KindLimit, mangocall.NotRun), "outer"), 429, "NotRun"},
		{"foreign error", errors.New("host secret-host"), 504, "Unknown"},
		{"panic", nil, 500, "Unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			url := startGateway(t, fakeHandlers{call: func(context.Context, ServiceCall) (Answer, error) {
				if tt.err == nil {
					panic("test")
				}
				return Answer{}, tt.err
			}})
			got := post(t, url+"/v1/services/s", "")
			is.Equal(got.status, tt.status)
			is.Equal(got.header.Get(headerOutcome), tt.outcome)
			if tt.outcome != "Rejected" {
				is.True(!strings.Contains(got.body, "secret-host")) // causes are only logged
			}
			if tt.status == 429 {
				is.Equal(got.header.Get("Retry-After"), "2")
				is.True(strings.Contains(got.body, `"RetryAfterMs":1500`))
			}
		})
	}
}

// Guards against a truncated stream that a caller takes for a complete one, after an error or a panic.
func TestTruncatedStreamIsAborted(t *testing.T) {
	for _, panics := range []bool{false, true} {
		is := is.New(t)
		url := startGateway(t, fakeHandlers{complete: func(_ context.Context, _ Completion, s mangocall.Sink) (mangocall.Result, error) {
			_ = s.Token("half")
			if panics {
				panic("test")
			}
			return mangocall.Result{}, &mangocall.Error{Op: "Test", Kind: mangocall.KindUpstream, Outcome: mangocall.Unknown}
		}})
		got := post(t, url+"/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
		is.True(got.err != nil) // the connection is aborted
		is.True(strings.Contains(got.body, "half"))
		is.True(!strings.Contains(got.body, "[DONE]"))
		is.Equal(strings.Contains(got.body, "event: error\ndata: {\"Error\":{\"Outcome\":\"Unknown\""), !panics)
	}
}

// Guards against tokens that wait in a buffer, and against a call that is cancelled because it takes longer than the read
// timeout.
func TestTokensAreFlushedAtOnce(t *testing.T) {
	is := is.New(t)
	const readTimeout = time.Second
	next := make(chan struct{})
	url := startGatewayWithReadTimeout(t, fakeHandlers{complete: func(ctx context.Context, _ Completion, s mangocall.Sink) (mangocall.Result, error) {
		_ = s.Token("one")
		select {
		case <-next:
		case <-time.After(20 * time.Second): // the first token was not flushed
			return mangocall.Result{}, errors.New("no reader")
		}
		time.Sleep(readTimeout + 100*time.Millisecond)
		return mangocall.Result{FinishReason: "stop"}, ctx.Err()
	}}, readTimeout)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer test-key")
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(line, "one")) // arrives before the answer is complete
	close(next)
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
}

// Guards against a caller that sends its body slowly and so holds a connection.
func TestSlowBodyIsCutOff(t *testing.T) {
	is := is.New(t)
	url := startGatewayWithReadTimeout(t, fakeHandlers{}, time.Second)
	connection, err := new(net.Dialer).DialContext(t.Context(), "tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer test-key\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	is.NoErr(connection.SetReadDeadline(time.Now().Add(20 * time.Second)))
	data, err := io.ReadAll(connection)
	is.NoErr(err) // closed by the gateway, not by the deadline of the test
	is.True(strings.HasPrefix(string(data), "HTTP/1.1 400"))
}

// Guards against a path, key, body or deadline that is lost or changed on the way to a service.
func TestServiceCallIsPassedUnchanged(t *testing.T) {
	is := is.New(t)
	var got ServiceCall
	url := startGateway(t, fakeHandlers{call: func(_ context.Context, c ServiceCall) (Answer, error) {
		got = c
		return Answer{Status: 201, ContentType: "text/x-test", Body: []byte("booked")}, nil
	}})
	r := post(t, url+"/v1/services/opvang/a%2Fb/c?d=1", "body", headerIdempotencyKey, "k1", headerDeadline, "250", "Content-Type", "text/plain")
	is.Equal(r.status, 201)
	is.Equal(r.body, "booked")
	is.Equal(r.header.Get("Content-Type"), "text/x-test")
	is.Equal(r.header.Get(headerOutcome), OutcomeAnswer)
	is.Equal(got.RequestedProfile, "opvang")
	is.Equal(got.Path, "/a%2Fb/c?d=1")
	is.Equal(got.IdempotencyKey, "k1")
	is.Equal(got.Customer, "dierenasiel")
	is.Equal(got.CallerTimeout, 250*time.Millisecond)
	is.Equal(string(got.Body), "body")
	is.Equal(got.ContentType, "text/plain")
}

// Guards against a panic and against bodies that are accepted although their values are out of bounds.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":5,"stream":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := parseCompletion(data, 64, 100)
		if err == nil && (body.Model == "" || body.Prompt == "" || len(body.Prompt) > 64) {
			t.Errorf("accepted %+v", body)
		}
		if err != nil && asCallError(err).Outcome != mangocall.Rejected {
			t.Errorf("outcome of %v", err)
		}
	})
}
