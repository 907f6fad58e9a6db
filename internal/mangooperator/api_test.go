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

type fakeDependencies struct {
	ready    bool
	err      error
	proposed []*mangomessage.Change
}

func (f *fakeDependencies) Entries(kind string) *mangomessage.EntryList {
	return &mangomessage.EntryList{Revision: 7, Entries: []*mangomessage.Entry{{ChangeId: kind}}}
}

func (f *fakeDependencies) Propose(_ context.Context, changes []*mangomessage.Change, _ bool) (uint64, error) {
	f.proposed = changes
	return 8, f.err
}

func (f *fakeDependencies) History(context.Context, string) ([]*mangomessage.Entry, error) {
	return nil, f.err
}

func (f *fakeDependencies) Status() *mangomessage.OperatorStatus {
	return &mangomessage.OperatorStatus{Ready: f.ready, Reason: "starting"}
}

func (f *fakeDependencies) Explain(context.Context, *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error) {
	panic("test")
}

func (f *fakeDependencies) Hosts() []*mangomessage.HostReport { return nil }

func newHandler(f *fakeDependencies) http.Handler {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	dependencies := Dependencies{EntryReader: f, Proposer: f, HistoryReader: f, StatusReporter: f, RouteExplainer: f, HostLister: f}
	return New(&mangomessage.OperatorSettings{Token: "test-token"}, dependencies, prometheus.NewRegistry(), logger).Handler()
}

const changeBody = `{"Changes":[{"ExpectedRevision":"3","Entry":{"ChangeId":"c1","Author":"anna","Alias":{"Name":"a","Target":"b"}}}]}`

// Guards against a route that skips the token check, an error that maps to a wrong status, and a panic that ends the
// process.
func TestRoutesCheckTokenAndMapErrors(t *testing.T) {
	conflict := &Error{Op: "Propose", Kind: KindConflict, Present: &mangomessage.Entry{Author: "bram", Revision: 4}}
	tests := []struct {
		name, method, path, token, body string
		fake                            fakeDependencies
		status                          int
		want                            string
	}{
		{"healthz", "GET", "/healthz", "", "", fakeDependencies{}, 200, "ok"},
		{"ready", "GET", "/readyz", "", "", fakeDependencies{ready: true}, 200, "ready"},
		{"not ready", "GET", "/readyz", "", "", fakeDependencies{}, 503, "starting"},
		{"metrics", "GET", "/metrics", "", "", fakeDependencies{}, 200, ""},
		{"no token", "GET", "/v1/entries", "", "", fakeDependencies{}, 401, "Unauthorised"},
		{"wrong token", "POST", "/v1/changes", "test-tokem", changeBody, fakeDependencies{}, 401, "Unauthorised"},
		{"entries", "GET", "/v1/entries?Kind=Alias", "test-token", "", fakeDependencies{}, 200, `"Revision":"7"`},
		{"wrong kind", "GET", "/v1/entries?Kind=Aliases", "test-token", "", fakeDependencies{}, 400, "Profile, Alias, Customer, HostMark"},
		{"change", "POST", "/v1/changes", "test-token", changeBody, fakeDependencies{}, 200, `"Revision":"8"`},
		{"conflict", "POST", "/v1/changes", "test-token", changeBody, fakeDependencies{err: conflict}, 409, `"Author":"bram"`},
		{"store down", "POST", "/v1/changes", "test-token", changeBody, fakeDependencies{err: &Error{Kind: KindUnavailable}}, 503, "Unavailable"},
		{"answer lost", "POST", "/v1/changes", "test-token", changeBody, fakeDependencies{err: &Error{Kind: KindUnknown}}, 504, "Unknown"},
		{"other error", "POST", "/v1/changes", "test-token", changeBody, fakeDependencies{err: errors.New("x")}, 500, "Internal"},
		{"unknown field", "POST", "/v1/changes", "test-token", `{"Change":[]}`, fakeDependencies{}, 400, "Change"},
		{"no change", "POST", "/v1/changes", "test-token", `{}`, fakeDependencies{}, 400, "0 items"},
		{"no author", "POST", "/v1/changes", "test-token", strings.Replace(changeBody, "anna", "", 1), fakeDependencies{}, 400, "Author"},
		{"wrong dry run", "POST", "/v1/changes?DryRun=maybe", "test-token", changeBody, fakeDependencies{}, 400, "true or false"},
		{"status", "GET", "/v1/status", "test-token", "", fakeDependencies{ready: true}, 200, `"Ready":true`},
		{"history", "GET", "/v1/history?Name=a", "test-token", "", fakeDependencies{}, 200, "{"},
		{"hosts", "GET", "/v1/hosts", "test-token", "", fakeDependencies{}, 200, "{"},
		{"empty explain", "POST", "/v1/explain", "test-token", "{}", fakeDependencies{}, 400, "Profile is empty"},
		{"panic", "POST", "/v1/explain", "test-token", `{"Profile":"p"}`, fakeDependencies{}, 500, "Internal"},
		{"unknown route", "GET", "/v1/none", "test-token", "", fakeDependencies{}, 404, "not served"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequestWithContext(t.Context(), tt.method, tt.path, strings.NewReader(tt.body))
			if tt.token != "" {
				r.Header.Set("Authorization", "Bearer "+tt.token)
			}
			w := httptest.NewRecorder()
			newHandler(&tt.fake).ServeHTTP(w, r)
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
				is.Equal(len(tt.fake.proposed), 0) // nothing is proposed without the token
			}
		})
	}
}
