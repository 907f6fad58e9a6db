package mangoreplica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a full replica that is asked again by every new request, each of which costs a retry, and against one that
// stays without requests after room has come free.
func TestFull(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name   string
		random float64
		after  time.Duration
		full   bool
	}{
		{"just now", 0, 0, true},
		{"within the time", 0, fullHold - 1, true},
		{"after the time", 0, fullHold, false},
		{"within a longer time", 0.5, fullHold + fullSpread/2 - 1, true},
		{"after the longest time", 0.999, fullHold + fullSpread, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := NewHealthTracker()
			b.MarkFull("r", tt.random, now)
			is.Equal(b.Full("r", now.Add(tt.after)), tt.full)
			is.True(!b.Full("s", now))
		})
	}
	is := is.New(t)
	b := NewHealthTracker()
	b.MarkFull("r", 0, now)
	b.Prune(NewFleet(nil))
	is.True(!b.Full("r", now)) // a replica that is gone
}
