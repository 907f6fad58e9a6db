package mangooperator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"

	"mangopath.org/mangopath/pkg/mangomessage"
)

type fake struct {
	ready bool
	err   error
	got   []*mangomessage.Change
}

func (f *fake) Entries(kind string) *mangomessage.EntryList {
	return &mangomessage.EntryList{Revision: 7, Entries: []*mangomessage.Entry{{ChangeId: kind}}}
}

func (f *fake) Propose(_ context.Context, changes []*mangomessage.Change, _ bool) (uint64, error) {
	f.got = changes
	return 8, f.err
}

func (f *fake) History(context.Context, string) ([]*mangomessage.Entry, error) { return nil, f.err }

func (f *fake) Status() *mangomessage.OperatorStatus {
	return &mangomessage.OperatorStatus{Ready: f.ready, Reason: "starting"}
}

func (f *fake) Explain(context.Context, *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error) {
	panic("test")
}

func (f *fake) Hosts() []*mangomessage.HostReport { return nil }

func handler(f *fake) http.Handler {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	sources := Dependencies{EntryReader: f, Proposer: f, HistoryReader: f, StatusReporter: f, RouteExplainer: f, HostLister: f}
	return New(&mangomessage.OperatorSettings{Token: "test-token"}, sources, prometheus.NewRegistry(), logger).Handler()
}

const change = `{"Changes":[{"ExpectedRevision":"3","Entry":{"ChangeId":"c1","Author":"anna","Alias":{"Name":"a","Target":"b"}}}]}`

// Guards against a route without its token check, a wrong status, and a panic that ends the process.
func TestRoutes(t *testing.T) {
	conflict := &Error{Op: "Propose", Kind: KindConflict, Present: &mangomessage.Entry{Author: "bram", Revision: 4}}
	tests := []struct {
		name, method, path, token, body string
		fake                            fake
		status                          int
		want                            string
	}{
		{"healthz", "GET", "/healthz", "", "", fake{}, 200, "ok"},
		{"ready", "GET", "/readyz", "", "", fake{ready: true}, 200, "ready"},
		{"not ready", "GET", "/readyz", "", "", fake{}, 503, "starting"},
		{"metrics", "GET", "/metrics", "", "", fake{}, 200, ""},
		{"no token", "GET", "/v1/entries", "", "", fake{}, 401, "Unauthorised"},
		{"wrong token", "POST", "/v1/changes", "test-tokem", change, fake{}, 401, "Unauthorised"},
		{"entries", "GET", "/v1/entries?Kind=Alias", "test-token", "", fake{}, 200, `"Revision":"7"`},
		{"wrong kind", "GET", "/v1/entries?Kind=Aliases", "test-token", "", fake{}, 400, "Profile, Alias, Customer, HostMark"},
		{"change", "POST", "/v1/changes", "test-token", change, fake{}, 200, `"Revision":"8"`},
		{"conflict", "POST", "/v1/changes", "test-token", change, fake{err: conflict}, 409, `"Author":"bram"`},
		{"store down", "POST", "/v1/changes", "test-token", change, fake{err: &Error{Kind: KindUnavailable}}, 503, "Unavailable"},
		{"answer lost", "POST", "/v1/changes", "test-token", change, fake{err: &Error{Kind: KindUnknown}}, 504, "Unknown"},
		{"other error", "POST", "/v1/changes", "test-token", change, fake{err: errors.New("x")}, 500, "Internal"},
		{"unknown field", "POST", "/v1/changes", "test-token", `{"Change":[]}`, fake{}, 400, "Change"},
		{"no change", "POST", "/v1/changes", "test-token", `{}`, fake{}, 400, "0 items"},
		{"no author", "POST", "/v1/changes", "test-token", strings.Replace(change, "anna", "", 1), fake{}, 400, "Author"},
		{"wrong dry run", "POST", "/v1/changes?DryRun=maybe", "test-token", change, fake{}, 400, "true or false"},
		{"status", "GET", "/v1/status", "test-token", "", fake{ready: true}, 200, `"Ready":true`},
		{"history", "GET", "/v1/history?Name=a", "test-token", "", fake{}, 200, "{"},
		{"hosts", "GET", "/v1/hosts", "test-token", "", fake{}, 200, "{"},
		{"empty explain", "POST", "/v1/explain", "test-token", "{}", fake{}, 400, "Profile is empty"},
		{"panic", "POST", "/v1/explain", "test-token", `{"Profile":"p"}`, fake{}, 500, "Internal"},
		{"unknown route", "GET", "/v1/none", "test-token", "", fake{}, 404, "not served"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequestWithContext(t.Context(), tt.method, tt.path, strings.NewReader(tt.body))
			if tt.token != "" {
				r.Header.Set("Authorization", "Bearer "+tt.token)
			}
			w := httptest.NewRecorder()
			handler(&tt.fake).ServeHTTP(w, r)
			is.Equal(w.Code, tt.status)
			body := w.Body.String()
			if strings.Contains(w.Header().Get("Content-Type"), "json") {
				body = strings.ReplaceAll(body, `": `, `":`) // protojson varies its spaces
				if tt.status >= 400 {
					is.NoErr(protojson.Unmarshal(w.Body.Bytes(), &mangomessage.OperatorError{}))
				}
			}
			is.True(strings.Contains(body, tt.want))
			if tt.status == 401 {
				is.Equal(len(tt.fake.got), 0) // nothing is proposed without the token
			}
		})
	}
}
