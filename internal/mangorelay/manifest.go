package mangorelay

import (
	"slices"
	"sync"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// sent is a request on its way through one or more replicas.
type sent struct {
	fingerprint string
	// wake makes it look again whether its replicas live.
	wake func()
}

// manifest knows which requests run on which replicas.
type manifest struct {
	mu     sync.Mutex
	aboard map[mangoreplica.Incarnation]map[*sent]struct{}
}

func newManifest() *manifest {
	return &manifest{aboard: map[mangoreplica.Incarnation]map[*sent]struct{}{}}
}

// board notes a request on replicas; the returned function takes it off.
func (m *manifest) board(s *sent, replicas []mangoreplica.Incarnation) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range replicas {
		if m.aboard[r] == nil {
			m.aboard[r] = map[*sent]struct{}{}
		}
		m.aboard[r][s] = struct{}{}
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, r := range replicas {
			delete(m.aboard[r], s)
			if len(m.aboard[r]) == 0 {
				delete(m.aboard, r)
			}
		}
	}
}

// fingerprints returns the requests on a replica, each once.
func (m *manifest) fingerprints(r mangoreplica.Incarnation) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for s := range m.aboard[r] {
		list = append(list, s.fingerprint)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// wake wakes all requests on a replica.
func (m *manifest) wake(r mangoreplica.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.aboard[r] {
		s.wake()
	}
}
