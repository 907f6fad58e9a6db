package mangoclient

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// startServer starts a server and returns its URL. handle answers the requests, one at a time, of which n is the number from 1.
func startServer(t *testing.T, handle func(n int, w http.ResponseWriter, body string)) string {
	t.Helper()
	var mu sync.Mutex
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		// An aborted connection does not order its handler before the next one.
		mu.Lock()
		defer mu.Unlock()
		n++
		handle(n, w, string(body))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func aliasEntry(name, target string) *mangomessage.Entry {
	return &mangomessage.Entry{Content: &mangomessage.Entry_Alias{Alias: &mangomessage.Alias{Name: name, Target: target}}}
}

// Guards against a change that gets a new id on a retry, and against its acceptance, whose answer was lost, that is reported
// as a conflict.
func TestProposeAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	changes := Plan(&mangomessage.EntryList{}, []*mangomessage.Entry{aliasEntry("a", "b")}, "anna")
	id := changes[0].GetEntry().GetChangeId()
	var bodies []string
	a := startServer(t, func(n int, w http.ResponseWriter, body string) {
		bodies = append(bodies, body)
		if n == 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusConflict)
		_, _ = fmt.Fprintf(w, `{"Kind":"Conflict","Message":"m","Present":{"ChangeId":%q,"Revision":"9"}}`, id)
	})
	operators, err := NewOperators([]string{a}, "token", WithRetries(3, time.Millisecond))
	is.NoErr(err)
	reply, err := operators.Propose(t.Context(), changes, false)
	is.NoErr(err)
	is.Equal(reply.GetRevision(), uint64(9))
	is.Equal(len(bodies), 2)
	is.True(strings.Contains(bodies[0], id) && strings.Contains(bodies[1], id))
}

// Guards against a conflict with another operator's change that is retried or reported without that change.
func TestProposeConflict(t *testing.T) {
	is := is.New(t)
	calls := 0
	a := startServer(t, func(n int, w http.ResponseWriter, _ string) {
		calls = n
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"Kind":"Conflict","Message":"m","Present":{"ChangeId":"other","Author":"bram","Revision":"9"}}`)
	})
	operators, err := NewOperators([]string{a}, "token", WithRetries(3, time.Millisecond))
	is.NoErr(err)
	_, err = operators.Propose(t.Context(), Plan(nil, []*mangomessage.Entry{aliasEntry("a", "b")}, "anna"), false)
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, KindConflict)
	is.Equal(failure.Present.GetAuthor(), "bram")
	is.Equal(calls, 1)
}

// Guards against a request that fails at one entry host and is not sent to the next.
func TestStatusTriesNextAddress(t *testing.T) {
	is := is.New(t)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	a := startServer(t, func(_ int, w http.ResponseWriter, _ string) { _, _ = io.WriteString(w, `{"Host":"h"}`) })
	operators, err := NewOperators([]string{closed.URL, a}, "token", WithRetries(1, 0))
	is.NoErr(err)
	status, err := operators.Status(t.Context())
	is.NoErr(err)
	is.Equal(status.GetHost(), "h")
}

// Guards against changes of entries that are already as wanted, and against changes that expect a wrong revision.
func TestPlan(t *testing.T) {
	is := is.New(t)
	same, old := aliasEntry("same", "x"), aliasEntry("old", "x")
	same.Revision, old.Revision = 3, 4
	present := &mangomessage.EntryList{Entries: []*mangomessage.Entry{same, old}}
	changes := Plan(present, []*mangomessage.Entry{aliasEntry("same", "x"), aliasEntry("old", "y"), aliasEntry("new", "z")}, "anna")
	is.Equal(len(changes), 2)
	is.Equal(changes[0].GetExpectedRevision(), uint64(4))
	is.Equal(changes[1].GetExpectedRevision(), uint64(0))
	is.True(changes[0].GetEntry().GetChangeId() != changes[1].GetEntry().GetChangeId())
}

// Guards against a misspelt field that is ignored, and against errors that do not say where the fault is.
func TestParseProfiles(t *testing.T) {
	tests := []struct{ name, data, want string }{
		{"good", `{"Profiles":[{"Name":"p","Places":[{"DataCentre":"d","Hosts":["h"]}]}],"HostMarks":[{"Host":"h","Drain":true}]}`, ""},
		{"unknown field", `{"Profiles":[{"Name":"p"},{"Name":"q","Places":[{"Datacentre":"d"}]}]}`, "Profiles[1].Places[0].Datacentre"},
		{"unknown top field", `{"Profile":[]}`, "unknown field Profile; allowed: Profiles, Aliases"},
		{"lower case", `{"profiles":[]}`, "unknown field profiles"},
		{"wrong type", `{"Profiles":[{"Name":"p","Weight":"many"}]}`, "Weight"},
		{"twice", `{"Aliases":[{"Name":"a"},{"Name":"a"}]}`, `Alias "a" is given twice`},
		{"no name", `{"Customers":[{}]}`, "a Customer has no name"},
		{"malformed", `{"Profiles":[}`, "f.json"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			entries, err := ParseProfiles("f.json", []byte(tt.data))
			if tt.want == "" {
				is.NoErr(err)
				is.Equal(len(entries), 2)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

// Guards against a truncated answer that is taken as whole, and against an error event whose outcome is lost.
func TestStream(t *testing.T) {
	const token, end = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\n",
		"data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}\n\n"
	tests := []struct {
		name, body string
		kind       Kind
		outcome    string
	}{
		{"whole", token + token + end + "data: [DONE]\n\n", 0, ""},
		{"no end marker", token + end, KindTruncated, "Unknown"},
		{"end marker without finish reason", token + "data: [DONE]\n\n", KindTruncated, "Unknown"},
		{"error event", token + "event: error\ndata: {\"Error\":{\"Outcome\":\"Unknown\",\"Kind\":\"Upstream\"}}\n\n", KindUnknown, "Unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := startServer(t, func(_ int, w http.ResponseWriter, _ string) {
				w.Header().Set("Mangopath-Outcome", "Answer")
				_, _ = io.WriteString(w, tt.body)
			})
			callers, err := NewCallers(a, "key")
			is.NoErr(err)
			got, err := callers.Stream(t.Context(), CompletionRequest{Model: "m", Prompt: "p"}, func(string) error { return nil })
			if tt.kind == 0 {
				is.NoErr(err)
				is.Equal(got.Text, "aa")
				is.Equal(got.Tokens, 2)
				return
			}
			var failure *Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Kind, tt.kind)
			is.Equal(failure.Outcome, tt.outcome)
		})
	}
}

// Guards against an outcome NotRun that is returned as Unknown, which would forbid a safe retry.
func TestCallOutcome(t *testing.T) {
	is := is.New(t)
	a := startServer(t, func(_ int, w http.ResponseWriter, _ string) {
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, `{"Error":{"Outcome":"NotRun","Kind":"Limit","RetryAfterMs":250,"Call":"c"}}`)
	})
	callers, err := NewCallers(a, "key")
	is.NoErr(err)
	_, err = callers.Call(t.Context(), ServiceRequest{Name: "s", Path: "/x", Key: "k"})
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, "NotRun")
	is.Equal(failure.RetryAfter, 250*time.Millisecond)
	is.Equal(failure.Call, "c")
}
