package mangonaive

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"mangopath.org/mangopath/internal/mangoengine"
	"mangopath.org/mangopath/internal/mangoservice"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testModel = mangoengine.Model{Name: "m", Version: "1", EndProbability: 0.05}

// startReplica runs an engine and returns its IP address and port.
func startReplica(t *testing.T, from, to uint32) string {
	t.Helper()
	e := mangoengine.New("h", mangoengine.LayerRange{Model: testModel, From: from, To: to}, mangoengine.WithTotalLayers(6))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		server.CloseClientConnections()
		cancel()
		<-done
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func startRouter(t *testing.T, s Settings) *httptest.Server {
	t.Helper()
	r := New(s)
	server := httptest.NewServer(r)
	t.Cleanup(func() {
		server.Close()
		r.Close()
	})
	return server
}

func send(t *testing.T, server *httptest.Server, method, path, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", "k")
	reply, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply.StatusCode, string(data)
}

// Guards against a baseline that answers wrongly even without faults, or that does not retry a failed attempt.
func TestCompletionIsRightAndRetried(t *testing.T) {
	answer := testModel.Complete(6, "a dog", 9)
	unreachable := "127.0.0.1:1"
	tests := []struct {
		name, extraReplica string
		stream             string
		contains           string
		status             int
	}{
		{"unary", "", "false", `"text":"` + answer.Text + `"`, 200},
		{"stream", "", "true", "data: [DONE]", 200},
		{"retry", unreachable, "false", `"text":"` + answer.Text + `"`, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			firstStage := []string{startReplica(t, 0, 2)}
			if test.extraReplica != "" {
				firstStage = append(firstStage, test.extraReplica)
			}
			server := startRouter(t, Settings{Retries: 1, Profiles: []Profile{{
				Name: "p", Model: "m", Version: "1",
				Stages: []Stage{{0, 2, firstStage}, {2, 6, []string{startReplica(t, 2, 6)}}},
			}}})
			status, body := send(t, server, "POST", "/v1/completions",
				`{"model":"p","prompt":"a dog","max_tokens":9,"stream":`+test.stream+`}`)
			is.Equal(status, test.status)
			is.True(strings.Contains(body, test.contains))
		})
	}
}

// Guards against a baseline that does not retry a call whose reply came after the timeout. Such a call runs twice.
func TestBlindRetryRunsTwice(t *testing.T) {
	is := is.New(t)
	service := httptest.NewServer(mangoservice.New("h", mangoservice.WithDelay(2*time.Second)))
	defer service.Close()
	replica := strings.TrimPrefix(service.URL, "http://")
	server := startRouter(t, Settings{Retries: 1, TimeoutMs: 1000, Profiles: []Profile{{Name: "s", Services: []string{replica}}}})
	status, _ := send(t, server, "POST", "/v1/services/s/book", "{}")
	is.Equal(status, 502)
	_, executions := send(t, service, "GET", "/admin/executions", "")
	is.Equal(strings.TrimSpace(executions), `{"k":2}`)
}
