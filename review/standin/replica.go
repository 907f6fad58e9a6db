package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// replica is a replica of a plain service, which answers all requests with its handler.
type replica struct {
	id, service, address string
	born                 int64
	slots                int
	running              atomic.Int64
	// beats counts the writes of its entry.
	beats   atomic.Int64
	handler func(w http.ResponseWriter, r *http.Request)
	beating context.CancelFunc

	mu sync.Mutex
	// arrivals has the requests that were run, in order.
	arrivals []arrival
}

// arrival is a request that a replica ran.
type arrival struct {
	id, uri, host string
	at            time.Time
}

// startReplica starts a replica that announces itself until it leaves or the context ends.
func (w *world) startReplica(ctx context.Context, id, service string, handler func(http.ResponseWriter, *http.Request)) (*replica, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), slots: 64, handler: handler}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, request *http.Request) { w.serveReplica(r, rw, request) }), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	beatCtx, stop := context.WithCancel(ctx)
	r.beating = stop
	beat := func() {
		w.store.set(w.names.Replicas+id, map[string]any{
			"service": service, "address": r.address, "zone": zoneName, "version": 1, "slots": r.slots, "state": "ready", "warmupLeftMs": 0,
			"sequence": r.beats.Load() + 1, "born": r.born,
		})
		r.beats.Add(1)
	}
	beat()
	go func() {
		for sleep(beatCtx, heartbeat) {
			beat()
		}
	}()
	return r, nil
}

// leave removes the entry of a replica, which goes on serving, and returns the time at which the store has taken that.
func (w *world) leave(r *replica) time.Time {
	r.beating()
	w.store.set(w.names.Replicas+r.id, nil)
	w.note("the entry of %s is removed", r.id)
	return time.Now()
}

// serveReplica answers a request as the pages say: health checks, requests that expect another replica, and all others.
func (w *world) serveReplica(r *replica, rw http.ResponseWriter, request *http.Request) {
	header := rw.Header()
	header.Set(w.names.Load, fmt.Sprintf("%d,0,%d", r.running.Load(), r.slots))
	if request.URL.Path == "/health" {
		header.Set(w.names.ReplicaID, r.id)
		return
	}
	id := request.Header.Get(w.names.AttemptID)
	header.Set(w.names.AttemptID, id)
	if expected := request.Header.Get(w.names.ExpectReplica); expected != "" && expected != r.id {
		header.Set(w.names.ReplicaID, r.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		w.note("%s answers 421 to %s for %s", r.id, id, expected)
		return
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	a := arrival{id: id, uri: request.RequestURI, host: request.Host, at: time.Now()}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	n := len(r.arrivals)
	r.mu.Unlock()
	w.note("%s runs %s: %s %s, Host %s", r.id, id, request.Method, request.RequestURI, request.Host)
	header.Set(w.names.Seal, r.id+"."+strconv.Itoa(n))
	r.handler(rw, request)
}

// ran returns the requests that a replica ran.
func (r *replica) ran() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
