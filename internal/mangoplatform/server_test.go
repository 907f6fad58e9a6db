package mangoplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// sendJSON sends a request with a JSON body, decodes the reply if its status is 200, and returns the status, or 0 if the
// connection broke.
func sendJSON(t *testing.T, server *httptest.Server, method, path string, body, into any) int {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, server.URL+path, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	r.GetBody = nil
	reply, err := server.Client().Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = reply.Body.Close() }()
	if into != nil && reply.StatusCode == http.StatusOK {
		if err := json.NewDecoder(reply.Body).Decode(into); err != nil {
			t.Fatal(err)
		}
	}
	return reply.StatusCode
}

func startServer(t *testing.T, options ...Option) *httptest.Server {
	server := httptest.NewServer(New(options...))
	t.Cleanup(server.Close)
	return server
}

// Guards against lost updates: a put whose expected version is no longer the current one must not write.
func TestPutComparesVersion(t *testing.T) {
	tests := []struct {
		expected uint64
		written  bool
		version  uint64
	}{{5, false, 0}, {0, true, 1}, {0, false, 1}, {1, true, 2}, {1, false, 2}}
	server := startServer(t)
	for i, test := range tests {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			var got mangomessage.PutReply
			is.Equal(sendJSON(
				t, server, "POST", "/v1/put", &mangomessage.PutRequest{Key: "k", ExpectedVersion: test.expected}, &got,
			), 200)
			is.Equal(got.Written, test.written)
			is.Equal(got.Version, test.version)
		})
	}
}

// Guards against a key that outlives its lease, and against a put that attaches a key to an expired lease.
func TestExpiredLeaseRemovesKeys(t *testing.T) {
	is := is.New(t)
	server := startServer(t)
	var l mangomessage.LeaseReply
	is.Equal(sendJSON(t, server, "POST", "/v1/leases/grant", &mangomessage.LeaseRequest{TtlMs: 1500}, &l), 200)
	put := &mangomessage.PutRequest{Key: "k", Value: []byte("v"), LeaseId: l.LeaseId}
	is.Equal(sendJSON(t, server, "POST", "/v1/put", put, nil), 200)
	time.Sleep(1600 * time.Millisecond)
	var item mangomessage.Item
	is.Equal(sendJSON(t, server, "GET", "/v1/keys?Key=k", nil, &item), 200)
	is.Equal(item.Version, uint64(0))
	is.Equal(sendJSON(t, server, "POST", "/v1/put", put, nil), 410)
}

// Guards against a watch that misses a write, outlasts its WaitMs, or goes on waiting when the service goes down.
func TestWatchReturns(t *testing.T) {
	is := is.New(t)
	server := startServer(t)
	got := make(chan int, 1)
	go func() { got <- sendJSON(t, server, "GET", "/v1/watch?Key=k&After=0&WaitMs=5000", nil, nil) }()
	time.Sleep(20 * time.Millisecond)
	is.Equal(sendJSON(t, server, "POST", "/v1/put", &mangomessage.PutRequest{Key: "k"}, nil), 200)
	is.Equal(<-got, 200)
	is.Equal(sendJSON(t, server, "GET", "/v1/watch?Key=k&After=1&WaitMs=20", nil, nil), 204)
	go func() { got <- sendJSON(t, server, "GET", "/v1/watch?Key=k&After=1&WaitMs=5000", nil, nil) }()
	time.Sleep(20 * time.Millisecond)
	is.Equal(sendJSON(t, server, "POST", "/admin/faults", Faults{Down: true}, nil), 200)
	is.Equal(<-got, 503)
}

// Guards against faults without their effect: a refused call must not write, and a put whose reply is dropped must write.
func TestFaultsTakeEffect(t *testing.T) {
	one := 1
	tests := []struct {
		name    string
		faults  Faults
		puts    int
		status  int
		written uint64
	}{
		{"down", Faults{Down: true}, 1, 503, 0},
		{"dropped reply", Faults{DropReplies: 1}, 1, 0, 1},
		{"other prefix", Faults{DropReplies: 1, DropPrefix: "x"}, 1, 200, 1},
		{"rate", Faults{WriteRate: &one}, 2, 429, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := startServer(t)
			is.Equal(sendJSON(t, server, "POST", "/admin/faults", test.faults, nil), 200)
			var status int
			for i := range test.puts {
				put := &mangomessage.PutRequest{Key: "k", ExpectedVersion: uint64(i)}
				status = sendJSON(t, server, "POST", "/v1/put", put, nil)
			}
			is.Equal(status, test.status)
			is.Equal(sendJSON(t, server, "POST", "/admin/faults", Faults{}, nil), 200)
			var item mangomessage.Item
			is.Equal(sendJSON(t, server, "GET", "/v1/keys?Key=k", nil, &item), 200)
			is.Equal(item.Version, test.written)
		})
	}
}

// Guards against assigning a version again, after a restore, that callers saw before it.
func TestRestoreReusesNoVersion(t *testing.T) {
	is := is.New(t)
	server := startServer(t)
	var got mangomessage.PutReply
	is.Equal(sendJSON(t, server, "POST", "/admin/snapshot", nil, nil), 200)
	is.Equal(sendJSON(t, server, "POST", "/v1/put", &mangomessage.PutRequest{Key: "k"}, &got), 200)
	is.Equal(sendJSON(t, server, "POST", "/admin/restore", nil, nil), 200)
	is.Equal(sendJSON(t, server, "POST", "/v1/put", &mangomessage.PutRequest{Key: "k"}, &got), 200)
	is.Equal(got.Version, uint64(2))
}

// Guards against a host list whose changes are visible without delay or while it is frozen.
func TestHostListIsDelayed(t *testing.T) {
	is := is.New(t)
	server := startServer(t, WithHostListDelay(1500*time.Millisecond))
	count := func() int {
		var list mangomessage.HostList
		is.Equal(sendJSON(t, server, "GET", "/v1/hosts", nil, &list), 200)
		return len(list.Hosts)
	}
	list := &mangomessage.HostList{Hosts: []*mangomessage.ListedHost{{Name: "a"}}}
	is.Equal(sendJSON(t, server, "POST", "/admin/hosts", list, nil), 200)
	is.Equal(count(), 0)
	is.Equal(sendJSON(t, server, "POST", "/admin/faults", Faults{HostListFrozen: true}, nil), 200)
	time.Sleep(1600 * time.Millisecond)
	is.Equal(count(), 0)
	is.Equal(sendJSON(t, server, "POST", "/admin/faults", Faults{}, nil), 200)
	is.Equal(count(), 1)
}

// Guards against storing a value that is larger than the maximum.
func TestLargeValueIsRefused(t *testing.T) {
	tests := []struct{ size, status int }{{maxValueBytes, 200}, {maxValueBytes + 1, 413}, {3 * maxValueBytes, 413}}
	server := startServer(t)
	for _, test := range tests {
		is := is.New(t)
		put := &mangomessage.PutRequest{Key: fmt.Sprint(test.size), Value: make([]byte, test.size)}
		is.Equal(sendJSON(t, server, "POST", "/v1/put", put, nil), test.status)
	}
}
