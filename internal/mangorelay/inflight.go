package mangorelay

import (
	"slices"
	"sync"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// inFlightRequest is a request on its way through one or more replicas.
type inFlightRequest struct {
	fingerprint string
	// wake makes it look again whether its replicas live.
	wake func()
}

// inFlightIndex knows which requests run on which replicas.
type inFlightIndex struct {
	mu        sync.Mutex
	byReplica map[mangoreplica.Incarnation]map[*inFlightRequest]struct{}
}

func newInFlightIndex() *inFlightIndex {
	return &inFlightIndex{byReplica: map[mangoreplica.Incarnation]map[*inFlightRequest]struct{}{}}
}

// add notes a request on replicas; the returned function takes it off.
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

// fingerprints returns the requests on a replica, each once.
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

// wakeAll wakes all requests on a replica.
func (ix *inFlightIndex) wakeAll(r mangoreplica.Incarnation) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for f := range ix.byReplica[r] {
		f.wake()
	}
}
