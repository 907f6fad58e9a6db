package mangoreplica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against sending every new request to a full replica, at the cost of a retry each, and against sending it none after
// capacity has become free.
func TestFull(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name   string
		random float64
		after  time.Duration
		full   bool
	}{
		{"just now", 0, 0, true},
		{"within the time", 0, minFullTime - 1, true},
		{"after the time", 0, minFullTime, false},
		{"within a longer time", 0.5, minFullTime + fullTimeJitter/2 - 1, true},
		{"after the longest time", 0.999, minFullTime + fullTimeJitter, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHealthTracker()
			h.MarkFull("r", tt.random, now)
			is.Equal(h.Full("r", now.Add(tt.after)), tt.full)
			is.True(!h.Full("s", now))
		})
	}
	is := is.New(t)
	h := NewHealthTracker()
	h.MarkFull("r", 0, now)
	h.Prune(NewFleet(nil))
	is.True(!h.Full("r", now)) // the replica left the fleet
}
