package mangorelay

import (
	"sync"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// manifest knows which requests run on which replicas, by their fingerprints.
type manifest struct {
	mu     sync.Mutex
	aboard map[mangoreplica.Incarnation]map[string]int
}

func newManifest() *manifest {
	return &manifest{aboard: map[mangoreplica.Incarnation]map[string]int{}}
}

// board notes a request on a replica; the returned function takes it off.
func (m *manifest) board(r mangoreplica.Incarnation, fingerprint string) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.aboard[r] == nil {
		m.aboard[r] = map[string]int{}
	}
	m.aboard[r][fingerprint]++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.aboard[r][fingerprint]--
		if m.aboard[r][fingerprint] <= 0 {
			delete(m.aboard[r], fingerprint)
		}
		if len(m.aboard[r]) == 0 {
			delete(m.aboard, r)
		}
	}
}

// fingerprints returns the requests on a replica.
func (m *manifest) fingerprints(r mangoreplica.Incarnation) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for f := range m.aboard[r] {
		list = append(list, f)
	}
	return list
}
