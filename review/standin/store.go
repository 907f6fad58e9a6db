package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize is the number of items in a page of a range.
	pageSize = 500
	// leaseCheck is the time between two looks for leases that have ended.
	leaseCheck = 10 * time.Millisecond
)

// item is an item of the store, or the deletion of a key in its history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease with its end.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's store in memory.
type store struct {
	names   names
	address string

	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	// down makes the store refuse all calls with 503; nothing is done then.
	down bool
}

// startStore starts a store that runs until the context ends.
func startStore(ctx context.Context, n names) (*store, error) {
	s := &store{names: n, items: map[string]item{}, leases: map[uint64]lease{}, revision: 1}
	s.changed = sync.NewCond(&s.mu)
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	go s.expireLeases(ctx)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return s, nil
}

// expireLeases ends leases, and wakes watches so that they look at their deadlines, until the context ends.
func (s *store) expireLeases(ctx context.Context) {
	for sleep(ctx, leaseCheck) {
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.down && time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

// endLease deletes a lease and its keys. The caller holds mu, as for write, remove and handle.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Lease: leaseID}
	s.items[key] = i
	s.history = append(s.history, i)
	s.changed.Broadcast()
}

func (s *store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.changed.Broadcast()
}

// set writes a key as the operator or a replica does; nil removes it. While the store is down it does nothing.
func (s *store) set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
	case value == nil:
		s.remove(key)
	default:
		s.write(key, data, 0)
	}
}

// setDown begins or ends an outage, in which all calls are refused with 503 and leases pause.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for id, l := range s.leases {
			s.leases[id] = lease{ttl: l.ttl, ends: time.Now().Add(l.ttl)}
		}
	}
	s.down = down
	s.changed.Broadcast()
}

// keysWith returns the values of the keys that begin with a prefix.
func (s *store) keysWith(prefix string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]string{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) {
			found[k] = string(i.Value)
		}
	}
	return found
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body := http.StatusServiceUnavailable, any(nil)
	if !s.down {
		status, body = s.handle(strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")[0], r)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// handle carries out a call and returns the status and the body of the reply.
func (s *store) handle(call string, r *http.Request) (int, any) {
	query := r.URL.Query()
	switch call {
	case s.names.Get:
		i, ok := s.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]any{"asOf": s.revision}
		}
		return http.StatusOK, i
	case s.names.Range:
		return s.handleRange(query.Get("prefix"), query.Get("after"))
	case s.names.Watch:
		return s.handleWatch(r)
	case s.names.Transaction:
		return s.handleTransaction(r)
	case s.names.Lease:
		return s.handleLease(r)
	}
	id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	l, ok := s.leases[id]
	switch {
	case !ok:
		return http.StatusNotFound, nil
	case call == s.names.EndLease:
		s.endLease(id)
		return http.StatusOK, nil
	}
	s.leases[id] = lease{ttl: l.ttl, ends: time.Now().Add(l.ttl)}
	return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
}

func (s *store) handleLease(r *http.Request) (int, any) {
	var in struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	s.revision++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.revision] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": in.TTL}
}

func (s *store) handleRange(prefix, after string) (int, any) {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	entries := []item{}
	for _, k := range keys[:min(len(keys), pageSize)] {
		entries = append(entries, s.items[k])
	}
	return http.StatusOK, map[string]any{"entries": entries, "hasMore": len(keys) > pageSize, "asOf": s.revision}
}

func (s *store) handleWatch(r *http.Request) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		if s.down {
			return http.StatusServiceUnavailable, nil
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after {
				events = append(events, i)
			}
		}
		if len(events) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			return http.StatusOK, map[string]any{"events": events, "asOf": s.revision}
		}
		s.changed.Wait()
	}
}

func (s *store) handleTransaction(r *http.Request) (int, any) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	entries, holds := []item{}, true
	for _, e := range in.Expected {
		i, ok := s.items[e.Key]
		if ok {
			entries = append(entries, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"entries": entries}
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range in.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}
