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
func (m *inFlightIndex) add(s *inFlightRequest, replicas []mangoreplica.Incarnation) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range replicas {
		if m.byReplica[r] == nil {
			m.byReplica[r] = map[*inFlightRequest]struct{}{}
		}
		m.byReplica[r][s] = struct{}{}
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, r := range replicas {
			delete(m.byReplica[r], s)
			if len(m.byReplica[r]) == 0 {
				delete(m.byReplica, r)
			}
		}
	}
}

// fingerprints returns the requests on a replica, each once.
func (m *inFlightIndex) fingerprints(r mangoreplica.Incarnation) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for s := range m.byReplica[r] {
		list = append(list, s.fingerprint)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// wakeAll wakes all requests on a replica.
func (m *inFlightIndex) wakeAll(r mangoreplica.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.byReplica[r] {
		s.wake()
	}
}
