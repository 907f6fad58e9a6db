package mangoload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"mangopath.org/mangopath/internal/mangoengine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testPlan(target string) Plan {
	model := mangoengine.Model{Name: "m", Version: "1"}
	return Plan{
		Targets: []string{target}, Customers: []Customer{{Name: "a", Key: "k"}}, DurationMs: 400, GraceMs: 100, Seed: 1,
		Kinds: []CallKind{{
			Name: "k", Profile: "p", Rate: 25, PromptWords: 3, MaxTokens: 2, DeadlineMs: 300, Weight: 2,
			Expected: []ExpectedModel{{model, 4}},
		}},
	}
}

// answerStream answers a completion with the expected text, or with the named fault.
func answerStream(w http.ResponseWriter, r *http.Request, fault string) {
	var c completionRequest
	_ = json.NewDecoder(r.Body).Decode(&c)
	answer := testPlan("").Kinds[0].Expected[0].Complete(4, c.Prompt, c.MaxTokens)
	text := answer.Text
	switch fault {
	case "late":
		time.Sleep(350 * time.Millisecond)
	case "wrong":
		text = " else"
	case "not run":
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"Error":{"Outcome":"NotRun"}}`)
		return
	case "broken":
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	switch fault {
	case "truncated":
		return
	case "error event":
		_, _ = fmt.Fprint(w, "event: error\ndata: {\"Error\":{\"Outcome\":\"Unknown\"}}\n\n")
		return
	}
	_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
}

// Guards against calls that count as on time although their answer is late, wrong, truncated or missing, and against one
// outcome being counted as another.
func TestOutcomesAreToldApart(t *testing.T) {
	tests := []struct {
		fault   string
		outcome Outcome
		onTime  bool
		isWrong bool
	}{
		{"", Answered, true, false},
		{"late", Answered, false, false},
		{"wrong", Answered, false, true},
		{"not run", NotRun, false, false},
		{"broken", NoReply, false, false},
		{"truncated", Truncated, false, false},
		{"error event", Unknown, false, false},
	}
	for _, test := range tests {
		t.Run(test.fault, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				answerStream(w, r, test.fault)
			}))
			defer server.Close()
			plan := testPlan(server.URL)
			// On a busy machine no call may be abandoned, and no deadline may pass except that of the late answer.
			plan.GraceMs = 10_000
			if test.fault != "late" {
				plan.Kinds[0].DeadlineMs = 10_000
			}
			total := New(plan).Run(context.Background()).Total
			is.True(total.Sent > 3)
			is.Equal(total.Outcomes[test.outcome], total.Sent)
			is.Equal(total.OnTime == total.Sent, test.onTime)
			is.Equal(total.Wrong == total.Sent, test.isWrong)
			is.Equal(total.GoodputShare == 1, test.onTime)
		})
	}
}

// Guards against a closed loop, in which calls wait for earlier answers and a slow target hides its latency by receiving
// less load.
func TestSlowTargetGetsFullLoad(t *testing.T) {
	is := is.New(t)
	var running, maxRunning atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		defer running.Add(-1)
		time.Sleep(200 * time.Millisecond)
		answerStream(w, r, "")
	}))
	defer server.Close()
	plan := testPlan(server.URL)
	plan.GraceMs = 10_000 // On a busy machine no call may be abandoned.
	total := New(plan).Run(context.Background()).Total
	is.True(maxRunning.Load() > 1)
	is.True(total.Latency.P50 >= 200)
	is.True(total.FirstToken.P50 >= 200)
}

// Guards against latency that is measured from the actual instead of the intended start when the generator sends a call
// late.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerStream(w, r, "") }))
	defer server.Close()
	plan := testPlan(server.URL)
	plan.GraceMs = 10_000
	g := New(plan)
	defer g.client.CloseIdleConnections()
	r := g.sendWithRetries(context.Background(), g.plan.schedule()[0], time.Now().Add(-100*time.Millisecond))
	is.Equal(r.outcome, Answered)
	is.True(r.latency >= 100*time.Millisecond)
	is.True(r.tokenTimes[0] >= 100*time.Millisecond)
}

// Guards against retries that the plan does not ask for, and against retries with another idempotency key.
func TestRetriesOnlyIfPlanned(t *testing.T) {
	tests := []struct {
		name     string
		retries  int
		attempts int
		onTime   bool
	}{{"off by default", 0, 1, false}, {"same key", 1, 2, true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			seen := make(chan string, 1000)
			keys := map[string]bool{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen <- r.Header.Get("Idempotency-Key")
				if len(seen) == 1 {
					answerStream(w, r, "not run")
					return
				}
				_, _ = fmt.Fprint(w, "{}")
			}))
			defer server.Close()
			plan := testPlan(server.URL)
			plan.Kinds[0].Service, plan.Kinds[0].DeadlineMs, plan.Retry = true, 10_000, RetryPolicy{Max: test.retries}
			g := New(plan)
			a := plan.withDefaults().schedule()[0]
			r := g.sendWithRetries(context.Background(), a, time.Now())
			g.client.CloseIdleConnections()
			close(seen)
			for key := range seen {
				keys[key] = true
			}
			is.Equal(r.retries+1, test.attempts)
			is.Equal(r.isOnTime(), test.onTime)
			is.Equal(keys, map[string]bool{a.idempotencyKey: true})
		})
	}
}

// Guards against a schedule that differs between runs of the same plan, and against customers whose number of calls does not
// follow their shares.
func TestScheduleDependsOnlyOnPlan(t *testing.T) {
	is := is.New(t)
	plan := testPlan("http://x")
	plan.DurationMs, plan.Kinds[0].Rate = 10000, 200
	plan.Customers = []Customer{{Name: "big", Share: 9}, {Name: "small", Share: 1}}
	all := plan.schedule()
	is.Equal(len(all), len(plan.schedule()))
	is.True(slices.EqualFunc(all, plan.schedule(), func(a, b arrival) bool {
		return a.offset == b.offset && a.idempotencyKey == b.idempotencyKey && a.prompt == b.prompt
	}))
	small := 0
	for _, a := range all {
		if a.customer.Name == "small" {
			small++
		}
	}
	is.True(len(all) > 1800 && len(all) < 2200)
	is.True(small > 140 && small < 260)
}

// Guards against runs with a plan that cannot give meaningful results.
func TestInvalidPlansAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *Plan)
	}{
		{"no target", func(p *Plan) { p.Targets = nil }},
		{"no customer", func(p *Plan) { p.Customers = nil }},
		{"no rate", func(p *Plan) { p.Kinds[0].Rate = 0 }},
		{"no deadline", func(p *Plan) { p.Kinds[0].DeadlineMs = 0 }},
		{"warm-up only", func(p *Plan) { p.WarmupMs = p.DurationMs }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			plan := testPlan("http://x")
			is.NoErr(plan.validate())
			test.change(&plan)
			is.True(plan.validate() != nil)
		})
	}
}
