package mangoentry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that are refused because they send their next request on an idle connection to a stopping daemon,
// although other daemons serve. Also guards against closing a connection on which a request is being served.
func TestIdleConnectionsClose(t *testing.T) {
	is := is.New(t)
	conns := newCallerConns()
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		callerConnOf(r.Context()).takeRequest()
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.WriteString(w, "done")
	}))
	conns.trackServer(server.Config)
	server.Listener = callerListener{server.Listener, conns}
	server.Start()
	defer server.Close()
	get := func(path string) (string, error) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+path, nil)
		if err != nil {
			return "", err
		}
		response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	_, err := get("/quick")
	is.NoErr(err)
	slow := make(chan error, 1)
	go func() {
		body, err := get("/slow")
		if err == nil && body != "done" {
			err = io.ErrUnexpectedEOF
		}
		slow <- err
	}()
	until := time.Now().Add(conditionLimit)
	closed := 0
	for closed == 0 && time.Now().Before(until) {
		closed += conns.closeIdle()
		time.Sleep(time.Millisecond)
	}
	is.Equal(closed, 1)
	close(release)
	is.NoErr(<-slow)
}
