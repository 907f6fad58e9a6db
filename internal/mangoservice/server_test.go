package mangoservice

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// call sends a request and returns the status and the Not-Executed header. Status 0 means that there was no reply.
func call(t *testing.T, server *httptest.Server, path, key, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.GetBody = nil
	r.Header.Set("Idempotency-Key", key)
	reply, err := server.Client().Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = reply.Body.Close() }()
	return reply.StatusCode, reply.Header.Get("Not-Executed")
}

// Guards against executions that are not counted or not in the journal, and against refused requests that are executed.
func TestExecutions(t *testing.T) {
	tests := []struct {
		name        string
		faults      string
		stop        bool
		status      int
		notExecuted string
		executions  uint64
	}{
		{"plain", `{}`, false, 200, "", 1},
		{"dropped reply", `{"DropReplies":1}`, false, 0, "", 1},
		{"refused", `{"Refuse":true}`, false, 503, "true", 0},
		{"crash", `{"CrashOnBody":"cat"}`, false, 0, "", 1},
		{"stopping", `{}`, true, 503, "true", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var journal bytes.Buffer
			s := New("h", WithJournal(&journal), WithCrash(func() { panic(http.ErrAbortHandler) }))
			server := httptest.NewServer(s)
			defer server.Close()
			status, _ := call(t, server, "/admin/faults", "", test.faults)
			is.Equal(status, 200)
			if test.stop {
				s.Stop()
			}
			status, notExecuted := call(t, server, "/book", "k", "a cat")
			is.Equal(status, test.status)
			is.Equal(notExecuted, test.notExecuted)
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(s.executions["k"], test.executions)
			is.Equal(strings.Count(journal.String(), "k\n"), int(test.executions))
		})
	}
}

// Guards against a graceful stop that ends before a running request is answered.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	s := New("h", WithDelay(300*time.Millisecond))
	server := httptest.NewServer(s)
	defer server.Close()
	status := make(chan int, 1)
	go func() {
		got, _ := call(t, server, "/book", "k", "{}")
		status <- got
	}()
	isRunning := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.running == 1
	}
	for until := time.Now().Add(20 * time.Second); !isRunning(); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(until))
	}
	s.Stop()
	s.Run(context.Background())
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	is.Equal(running, 0)
	is.Equal(<-status, 200)
}
