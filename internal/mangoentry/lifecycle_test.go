package mangoentry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that a stopping daemon accepts and cannot finish: a plain request that arrived 50 ms before the
// end of the shutdown was cut off.
func TestRefusesNewRequests(t *testing.T) {
	tests := []struct {
		name          string
		stopping      bool
		streams, all  time.Duration
		stream, plain bool
	}{
		{"running", false, 0, 0, false, false},
		{"just told to stop", true, time.Hour, 2 * time.Hour, false, false},
		{"after the cutoff of streams", true, -time.Hour, time.Hour, true, false},
		{"after both cutoffs", true, -2 * time.Hour, -time.Hour, true, true},
		{"a grace period shorter than a request", true, time.Hour, -time.Hour, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := newLifecycle()
			if tt.stopping {
				l.beginShutdown(time.Now().Add(tt.streams), time.Now().Add(tt.all))
			}
			is.Equal(l.isStopping(), tt.stopping)
			is.Equal(l.refusesNew(true), tt.stream)
			is.Equal(l.refusesNew(false), tt.plain)
		})
	}
}
