package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// callResult is the reply that a caller received to one call.
type callResult struct {
	status int
	// outcome is the header Mangopath-Outcome.
	outcome    string
	text       string
	tokenTimes []time.Time
	// completed is set when the stream ended with [DONE], or a plain service replied with status 200.
	completed bool
	// body is what came in place of a completion: an error, or the reply of a plain service.
	body string
	err  error
}

// requestCompletion asks an entry host for a streamed completion and returns what arrived, also when the stream broke off.
func requestCompletion(ctx context.Context, e *entryHost, model, prompt string, tokens int) callResult {
	return requestCompletionAs(ctx, "http://"+e.callerAddress, customerKey, model, prompt, tokens)
}

// requestCompletionAs asks the router at a base URL for a streamed completion, with the API key of a customer.
func requestCompletionAs(ctx context.Context, url, key, model, prompt string, tokens int) callResult {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	request.GetBody = nil
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	a := callResult{status: reply.StatusCode, outcome: reply.Header.Get("Mangopath-Outcome")}
	a.readEvents(reply)
	return a
}

// readEvents reads server-sent events up to the end marker [DONE] and keeps all other lines as the body.
func (a *callResult) readEvents(reply *http.Response) {
	var text strings.Builder
	lines := bufio.NewScanner(reply.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			a.body += lines.Text() + "\n"
			continue
		}
		if data == "[DONE]" {
			a.completed = true
			break
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 {
			a.body += data + "\n"
			continue
		}
		if event.Choices[0].Text != "" {
			text.WriteString(event.Choices[0].Text)
			a.tokenTimes = append(a.tokenTimes, time.Now())
		}
	}
	a.err = lines.Err()
	a.text = text.String()
}

// longestGap returns the longest time between two successive tokens.
func (a callResult) longestGap() time.Duration {
	var longest time.Duration
	for i := 1; i < len(a.tokenTimes); i++ {
		longest = max(longest, a.tokenTimes[i].Sub(a.tokenTimes[i-1]))
	}
	return longest
}

// requestBooking posts a booking to a plain service through an entry host. The idempotency key may be empty.
func requestBooking(ctx context.Context, e *entryHost, name, key, body string) callResult {
	header := http.Header{"Authorization": {"Bearer " + customerKey}, "Content-Type": {"application/json"}}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	status, data, replied, err := sendRequest(ctx, http.MethodPost, "http://"+e.callerAddress+"/v1/services/"+name+"/bookings", header, []byte(body))
	return callResult{status: status, outcome: replied.Get("Mangopath-Outcome"), body: string(data), completed: err == nil && status == http.StatusOK, err: err}
}

// sendOperatorRequest sends a request to the operator API of an entry host and returns the status and the body.
func sendOperatorRequest(e *entryHost, method, path string, body []byte) (int, []byte, error) {
	header := http.Header{"Authorization": {"Bearer " + operatorToken}, "Content-Type": {"application/json"}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	status, data, _, err := sendRequest(ctx, method, "http://"+e.operatorAddress+path, header, body)
	return status, data, err
}

// propose sends configuration changes to an entry host and returns the status and the body. Status 0 means no reply.
func propose(e *entryHost, changes ...*mangomessage.Change) (int, string) {
	parts := make([]string, len(changes))
	for i, c := range changes {
		data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(c)
		if err != nil {
			return 0, err.Error()
		}
		parts[i] = string(data)
	}
	status, body, err := sendOperatorRequest(e, http.MethodPost, "/v1/changes", []byte(`{"Changes":[`+strings.Join(parts, ",")+`]}`))
	if err != nil {
		return 0, err.Error()
	}
	return status, string(body)
}

// mustPropose proposes changes one by one, each again until it is accepted, and fails the test after 10 s.
func mustPropose(t testing.TB, e *entryHost, changes ...*mangomessage.Change) {
	t.Helper()
	for _, c := range changes {
		eventually(t, 10*time.Second, "change accepted", func() bool {
			status, body := propose(e, c)
			if status != http.StatusOK {
				t.Logf("change %s: %d %s", c.Entry.ChangeId, status, tail(body, 300))
			}
			return status == http.StatusOK
		})
	}
}

// newChange returns a change that is accepted only if the entry is still at the expected revision.
func newChange(id string, expected uint64, entry *mangomessage.Entry) *mangomessage.Change {
	entry.ChangeId, entry.Author = id, "test"
	return &mangomessage.Change{ExpectedRevision: expected, Entry: entry}
}

func profileEntry(p *mangomessage.Profile) *mangomessage.Entry {
	return &mangomessage.Entry{Content: &mangomessage.Entry_Profile{Profile: p}}
}

func aliasEntry(name, target string) *mangomessage.Entry {
	return &mangomessage.Entry{Content: &mangomessage.Entry_Alias{Alias: &mangomessage.Alias{Name: name, Target: target}}}
}

func hostMarkEntry(host string, drain bool) *mangomessage.Entry {
	return &mangomessage.Entry{Content: &mangomessage.Entry_HostMark{HostMark: &mangomessage.HostMark{Host: host, Drain: drain}}}
}

func customerEntry(name, digest string) *mangomessage.Entry {
	c := &mangomessage.Customer{Name: name, KeyDigests: []string{digest}}
	return &mangomessage.Entry{Content: &mangomessage.Entry_Customer{Customer: c}}
}

// modelProfile returns a completion profile of the test model at a version, served in both data centres.
func modelProfile(name, version string) *mangomessage.Profile {
	return &mangomessage.Profile{
		Name: name, Kind: "completion", Model: "tekst-model", Version: version, Layers: modelLayers, DeadlineMs: 60000, MaxTokens: 1000,
		Places: []*mangomessage.Place{{DataCentre: "nieuwegein"}, {DataCentre: "houten"}},
	}
}

// serviceProfile returns the profile of a plain service on hosts of a data centre.
func serviceProfile(name, centre string, nonIdempotent bool, hosts ...string) *mangomessage.Profile {
	return &mangomessage.Profile{
		Name: name, Kind: "service", NonIdempotent: nonIdempotent, DeadlineMs: 5000,
		Places: []*mangomessage.Place{{DataCentre: centre, Hosts: hosts}},
	}
}

// executions returns how often a service executed each idempotency key.
func executions(t testing.TB, service string) map[string]int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, data, _, err := sendRequest(ctx, http.MethodGet, "http://"+service+"/admin/executions", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	var reply struct{ Executions map[string]int }
	if err := json.Unmarshal(data, &reply); err == nil && reply.Executions != nil {
		return reply.Executions
	}
	counts := map[string]int{}
	if err := json.Unmarshal(data, &counts); err != nil {
		t.Fatal(fmt.Errorf("executions %q: %w", data, err))
	}
	return counts
}
