package mangorelay

import (
	"slices"
	"sync"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// inFlightRequest is a request that has been sent and passes through one or more replicas.
type inFlightRequest struct {
	fingerprint string
	// wake makes the request check again whether its replicas are alive.
	wake func()
}

// inFlightIndex records which requests are in flight on which replicas.
type inFlightIndex struct {
	mu        sync.Mutex
	byReplica map[mangoreplica.Incarnation]map[*inFlightRequest]struct{}
}

func newInFlightIndex() *inFlightIndex {
	return &inFlightIndex{byReplica: map[mangoreplica.Incarnation]map[*inFlightRequest]struct{}{}}
}

// add records a request on replicas; the returned function removes it.
func (ix *inFlightIndex) add(f *inFlightRequest, replicas []mangoreplica.Incarnation) func() {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for _, r := range replicas {
		if ix.byReplica[r] == nil {
			ix.byReplica[r] = map[*inFlightRequest]struct{}{}
		}
		ix.byReplica[r][f] = struct{}{}
	}
	return func() {
		ix.mu.Lock()
		defer ix.mu.Unlock()
		for _, r := range replicas {
			delete(ix.byReplica[r], f)
			if len(ix.byReplica[r]) == 0 {
				delete(ix.byReplica, r)
			}
		}
	}
}

// fingerprints returns the distinct fingerprints of the requests in flight on a replica.
func (ix *inFlightIndex) fingerprints(r mangoreplica.Incarnation) []string {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	var list []string
	for f := range ix.byReplica[r] {
		list = append(list, f.fingerprint)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// wakeAll wakes all requests in flight on a replica.
func (ix *inFlightIndex) wakeAll(r mangoreplica.Incarnation) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for f := range ix.byReplica[r] {
		f.wake()
	}
}
