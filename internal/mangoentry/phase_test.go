package mangoentry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that a stopping daemon begins and cannot end: a plain request that came 50 ms before the end of a
// stop was cut.
func TestClosed(t *testing.T) {
	tests := []struct {
		name          string
		begun         bool
		streams, all  time.Duration
		stream, plain bool
	}{
		{"running", false, 0, 0, false, false},
		{"just told to stop", true, time.Hour, 2 * time.Hour, false, false},
		{"late for streams", true, -time.Hour, time.Hour, true, false},
		{"late for all", true, -2 * time.Hour, -time.Hour, true, true},
		{"a grace period shorter than the last request", true, time.Hour, -time.Hour, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPhase()
			if tt.begun {
				p.begin(time.Now().Add(tt.streams), time.Now().Add(tt.all))
			}
			is.Equal(p.stopping(), tt.begun)
			is.Equal(p.closed(true), tt.stream)
			is.Equal(p.closed(false), tt.plain)
		})
	}
}
