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

// callResult is what a caller saw of one call.
type callResult struct {
	status     int
	outcome    string
	text       string
	tokenTimes []time.Time
	completed  bool
	body       string
	err        error
}

// requestCompletion asks an entry host for a streamed completion; it returns what arrived, whole or not.
func requestCompletion(ctx context.Context, e *entryHost, name, prompt string, tokens int) callResult {
	return requestCompletionAs(ctx, "http://"+e.callerAddress, customerKey, name, prompt, tokens)
}

// requestCompletionAs asks a router at a base URL with a customer's key.
func requestCompletionAs(ctx context.Context, url, key, name, prompt string, tokens int) callResult {
	body, _ := json.Marshal(map[string]any{"model": name, "prompt": prompt, "max_tokens": tokens, "stream": true})
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

// readEvents takes server-sent events until the explicit end.
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

// longestGap returns the longest time between two tokens.
func (a callResult) longestGap() time.Duration {
	var longest time.Duration
	for i := 1; i < len(a.tokenTimes); i++ {
		longest = max(longest, a.tokenTimes[i].Sub(a.tokenTimes[i-1]))
	}
	return longest
}

// requestBooking calls a plain service through an entry host.
func requestBooking(ctx context.Context, e *entryHost, name, key, body string) callResult {
	header := http.Header{"Authorization": {"Bearer " + customerKey}, "Content-Type": {"application/json"}}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	status, data, replied, err := sendRequest(ctx, http.MethodPost, "http://"+e.callerAddress+"/v1/services/"+name+"/bookings", header, []byte(body))
	return callResult{status: status, outcome: replied.Get("Mangopath-Outcome"), body: string(data), completed: err == nil && status == http.StatusOK, err: err}
}

// sendOperatorRequest sends an operator's request and returns status and body.
func sendOperatorRequest(e *entryHost, method, path string, body []byte) (int, []byte, error) {
	header := http.Header{"Authorization": {"Bearer " + operatorToken}, "Content-Type": {"application/json"}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	status, data, _, err := sendRequest(ctx, method, "http://"+e.operatorAddress+path, header, body)
	return status, data, err
}

// propose sends changes through an entry host.
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

// mustPropose proposes entries that must be accepted.
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

// newChange wraps an entry's content in a change.
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

// modelProfile describes the test model at a version.
func modelProfile(name, version string) *mangomessage.Profile {
	return &mangomessage.Profile{
		Name: name, Kind: "completion", Model: "tekst-model", Version: version, Layers: modelLayers, DeadlineMs: 60000, MaxTokens: 1000,
		Places: []*mangomessage.Place{{DataCentre: "nieuwegein"}, {DataCentre: "houten"}},
	}
}

// serviceProfile describes a plain service on hosts of a data centre.
func serviceProfile(name, centre string, nonIdempotent bool, hosts ...string) *mangomessage.Profile {
	return &mangomessage.Profile{
		Name: name, Kind: "service", NonIdempotent: nonIdempotent, DeadlineMs: 5000,
		Places: []*mangomessage.Place{{DataCentre: centre, Hosts: hosts}},
	}
}

// executions returns how often a service ran each idempotency key.
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
