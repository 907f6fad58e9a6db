package mangostore_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func kindOf(err error) mangostore.Kind {
	var e *mangostore.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func serve(t *testing.T, handler http.HandlerFunc, opts ...mangostore.Option) *mangostore.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := mangostore.New(server.URL, opts...)
	t.Cleanup(server.Close)
	t.Cleanup(client.Close)
	return client
}

// Guards against a write that is reported to have had no effect although it may have had one, and the reverse.
func TestKinds(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	// The server notices that the client has given up only after it has read the body.
	slow := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			fmt.Fprint(w, body) //nolint:errcheck // the client under test sees the failure
		}
	}
	tests := []struct {
		name        string
		handler     http.HandlerFunc
		write, read mangostore.Kind
	}{
		{"written", status(200, `{"Written":true,"Version":3}`), 0, 0},
		{"conflict", status(200, `{"Version":3}`), mangostore.KindConflict, 0},
		{"garbled reply", status(200, `{`), mangostore.KindUnknown, mangostore.KindUnavailable},
		{"rate exceeded", status(429, ""), mangostore.KindLimited, mangostore.KindLimited},
		{"service down", status(503, ""), mangostore.KindUnavailable, mangostore.KindUnavailable},
		{"bad request", status(400, ""), mangostore.KindInvalid, mangostore.KindInvalid},
		{"too large", status(413, ""), mangostore.KindInvalid, mangostore.KindInvalid},
		{"lease ended", status(410, ""), mangostore.KindLeaseLost, mangostore.KindLeaseLost},
		{"internal error", status(500, ""), mangostore.KindUnknown, mangostore.KindUnavailable},
		{"bad gateway", status(502, ""), mangostore.KindUnknown, mangostore.KindUnavailable},
		{"connection breaks", abort, mangostore.KindUnknown, mangostore.KindUnavailable},
		{"timeout", slow, mangostore.KindUnknown, mangostore.KindUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			// Only the call that is to time out ends by its timeout, which leaves a busy machine the time to send it.
			timeout := time.Minute
			if tt.name == "timeout" {
				timeout = time.Second
			}
			client := serve(t, tt.handler, mangostore.WithTimeout(timeout))
			_, err := client.Put(t.Context(), mangostore.Item{Key: "k"})
			is.Equal(kindOf(err), tt.write)
			_, err = client.Get(t.Context(), "k")
			is.Equal(kindOf(err), tt.read)
		})
	}
}

// Guards against KindUnknown, which makes callers read the key back, for writes that were not sent.
func TestUnsentWriteHasNoEffect(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // the listener only reserves a port
	is.NoErr(err)
	is.NoErr(listener.Close())
	client := mangostore.New(listener.Addr().String())
	_, err = client.Put(t.Context(), mangostore.Item{Key: "k"})
	is.Equal(kindOf(err), mangostore.KindUnavailable)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client = serve(t, func(http.ResponseWriter, *http.Request) {})
	_, err = client.Put(ctx, mangostore.Item{Key: "k"})
	is.Equal(kindOf(err), mangostore.KindUnavailable)
}

// Guards against net/http sending a write again on another connection after the first one took effect.
func TestWriteIsSentOnce(t *testing.T) {
	is := is.New(t)
	var executions atomic.Int64
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if executions.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, `{"Written":true,"Version":1}`) //nolint:errcheck // the client under test sees the failure
	})
	_, err := client.Put(t.Context(), mangostore.Item{Key: "k"})
	is.NoErr(err)
	_, err = client.Put(t.Context(), mangostore.Item{Key: "k"})
	is.Equal(kindOf(err), mangostore.KindUnknown)
	is.Equal(executions.Load(), int64(2))
}

// inspector is a transport that records requests and sends none.
type inspector struct{ requests []*http.Request }

func (i *inspector) RoundTrip(r *http.Request) (*http.Response, error) {
	i.requests = append(i.requests, r)
	return nil, errors.New("not sent")
}

// Guards against the conditions under which net/http repeats a request: GetBody, no body, or an idempotency header.
func TestWritesCannotBeReplayed(t *testing.T) {
	is := is.New(t)
	seen := &inspector{}
	client := mangostore.New("127.0.0.1:1", mangostore.WithTransport(seen))
	_, err := client.Put(t.Context(), mangostore.Item{Key: "k"})
	is.True(err != nil)
	is.True(client.Delete(t.Context(), "k", 1) != nil)
	_, err = client.Grant(t.Context(), time.Second)
	is.True(err != nil)
	is.True(client.Renew(t.Context(), 1) != nil)
	is.True(client.Revoke(t.Context(), 1) != nil)
	is.Equal(len(seen.requests), 5)
	for _, r := range seen.requests {
		is.Equal(r.Method, http.MethodPost)
		is.True(r.GetBody == nil)
		is.True(r.Body != nil && r.ContentLength > 0)
		is.Equal(r.Header.Get("Idempotency-Key"), "")
	}
}

// Guards against requests that differ from the platform's protocol and replies that are decoded wrongly.
func TestProtocol(t *testing.T) {
	is := is.New(t)
	var lines []string
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		lines = append(lines, r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("Authorization"))
		switch r.URL.Path {
		case "/v1/list":
			write(w, &mangomessage.Items{Items: []*mangomessage.Item{{Key: "a/b", Value: []byte("x"), Version: 2}}})
		case "/v1/leases/grant":
			write(w, &mangomessage.LeaseReply{LeaseId: 7, Live: true})
		case "/v1/leases/renew":
			write(w, &mangomessage.LeaseReply{LeaseId: 7})
		case "/v1/hosts":
			write(w, &mangomessage.HostList{AsOfMs: 5})
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	}, mangostore.WithToken("t"), mangostore.WithWatchWait(time.Second))
	items, err := client.List(t.Context(), "a/")
	is.NoErr(err)
	is.Equal(items, []mangostore.Item{{Key: "a/b", Value: []byte("x"), Version: 2}})
	lease, err := client.Grant(t.Context(), time.Second)
	is.NoErr(err)
	is.Equal(lease, uint64(7))
	is.Equal(kindOf(client.Renew(t.Context(), 7)), mangostore.KindLeaseLost)
	list, err := client.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(list.GetAsOfMs(), int64(5))
	_, found, err := client.GetAfter(t.Context(), "a/b", 2)
	is.NoErr(err)
	is.True(!found)
	item, err := client.Watch(t.Context(), "a/b", 2)
	is.NoErr(err)
	is.Equal(item.Version, uint64(2))
	is.Equal(lines, []string{
		"GET /v1/list?Prefix=a%2F Bearer t", "POST /v1/leases/grant Bearer t", "POST /v1/leases/renew Bearer t",
		"GET /v1/hosts Bearer t", "GET /v1/keys?After=2&Key=a%2Fb Bearer t", "GET /v1/watch?After=2&Key=a%2Fb&WaitMs=1000 Bearer t",
	})
}

func write(w http.ResponseWriter, m any) {
	if err := json.NewEncoder(w).Encode(m); err != nil {
		panic(err)
	}
}
