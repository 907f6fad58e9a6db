package mangoduration

import (
	"sync"
	"time"
)

const (
	// samplesToForget is the number of faster requests over which the expected duration comes down.
	samplesToForget = 50
	// maxRoutes bounds the routes; with one more, all are learned anew. Configurations drop routes and bring others.
	maxRoutes = 4096
)

// Tracker has the expected duration of the requests of each route. Its methods are safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	expected map[string]time.Duration
}

// New returns a tracker that has seen no requests.
func New() *Tracker { return &Tracker{expected: map[string]time.Duration{}} }

// Record records the duration of a request of a route.
func (t *Tracker) Record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.expected[route]; !known && len(t.expected) >= maxRoutes {
		clear(t.expected)
	}
	t.expected[route] = next(t.expected[route], took)
}

// next returns the expected duration after a request.
func next(expected, took time.Duration) time.Duration {
	if took >= expected {
		return took
	}
	return expected - (expected-took)/samplesToForget
}

// Expected returns the expected duration of the requests of a route, 0 if there were none.
func (t *Tracker) Expected(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expected[route]
}
