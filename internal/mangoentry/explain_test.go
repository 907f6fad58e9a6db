package mangoentry

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// fixedExplainer answers each query with the same error, or with its host.
type fixedExplainer struct{ err error }

func (f fixedExplainer) Explain(q *mangomessage.RelayExplainRequest) (*mangomessage.RelayExplainReply, error) {
	return &mangomessage.RelayExplainReply{Host: q.GetHost()}, f.err
}

// Guards against a status that does not tell a wrong query from a daemon that cannot answer, against metrics that are hidden by the
// queries, and against a key in the log or in an error, also if the body cannot be read
// or the key is given as the customer or in the path.
func TestExplainService(t *testing.T) {
	failure := func(kind mangorelay.Kind) error {
		return &mangorelay.Error{Op: "Explain", Kind: kind, Err: errors.New("reason")}
	}
	const body = `{"Host":"h","Path":"/v1","Key":"secret"}`
	tests := []struct {
		name, method, path, body string
		err                      error
		status                   int
		want, result             string
	}{
		{"answered", http.MethodPost, "/explain", body, nil, 200, `"Host":"h"`, "Explained"},
		{"not found", http.MethodPost, "/explain", body, failure(mangorelay.KindNotFound), 404, "reason", "NotFound"},
		{"invalid", http.MethodPost, "/explain", body, failure(mangorelay.KindInvalid), 400, "reason", "Invalid"},
		{"unavailable", http.MethodPost, "/explain", body, failure(mangorelay.KindUnavailable), 503, "reason", "Unavailable"},
		{"key as a name", http.MethodPost, "/explain", `{"Host":"h","Path":"/v1?key=secret","Customer":"secret"}`, failure(mangorelay.KindNotFound), 404, "reason", "NotFound"},
		{"unreadable", http.MethodPost, "/explain", `{"Key":"secret",`, nil, 400, "as JSON", "Invalid"},
		{"unknown field", http.MethodPost, "/explain", `{"Keys":"secret"}`, nil, 400, "as JSON", "Invalid"},
		{"too large", http.MethodPost, "/explain", `{"Key":"` + strings.Repeat("secret", maxExplainBytes) + `"}`, nil, 400, "too large", "Invalid"},
		{"wrong method", http.MethodGet, "/explain", "", nil, 405, "", ""},
		{"metrics", http.MethodGet, "/metrics", "", nil, 200, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			logger := logrus.New()
			logger.SetOutput(&log)
			counted := ""
			service := newExplainService(fixedExplainer{tt.err}, func(result string) { counted += result }, logger)
			recorder := httptest.NewRecorder()
			request := httptest.NewRequestWithContext(t.Context(), tt.method, tt.path, strings.NewReader(tt.body))
			metricsHandler(prometheus.NewRegistry(), service).ServeHTTP(recorder, request)
			is.Equal(recorder.Code, tt.status)
			is.True(strings.Contains(strings.ReplaceAll(recorder.Body.String(), " ", ""), strings.ReplaceAll(tt.want, " ", "")))
			is.Equal(counted, tt.result)
			is.Equal(strings.Contains(log.String(), "event=request_explained"), tt.result != "")
			is.True(!strings.Contains(log.String()+recorder.Body.String(), "secret"))
		})
	}
}
