package mangoreplica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a leaving replica that gets requests again because its entry vanished and came back, because it answered or
// because of a milder outage, and against a restarted one that gets none.
func TestLeavingLastsForOneStart(t *testing.T) {
	r := Incarnation{ID: "r", Born: 1}
	entry := func(born int64) *Fleet { return NewFleet([]*Replica{{ID: "r", Address: "a", Born: born}}) }
	tests := []struct {
		name string
		then func(h *HealthTracker)
		want bool
	}{
		{"nothing else", func(*HealthTracker) {}, true},
		{"its entry vanishes and comes back", func(h *HealthTracker) { h.Prune(NewFleet(nil)); h.Prune(entry(1)) }, true},
		{"it answers", func(h *HealthTracker) { h.ClearOutage(r, at(10)); h.MarkReachable(r, at(10)) }, true},
		{"a milder outage ends", func(h *HealthTracker) { h.Avoid(r, CauseFaulty, time.Millisecond, at(10)); h.Outages(at(1000)) }, true},
		{"it starts anew", func(h *HealthTracker) { h.Prune(entry(2)) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHealthTracker()
			is.True(h.MarkLeaving(r, time.Now()))
			is.True(!h.MarkLeaving(r, time.Now()))
			tt.then(h)
			is.Equal(h.Leaving(r), tt.want)
			is.Equal(h.CertainToFail(r, at(2000)), tt.want)
			is.Equal(h.Outages(at(2000))[r].Cause == CauseStopping, tt.want)
			is.True(!h.CertainToFail(Incarnation{ID: "r", Born: 2}, at(2000)))
		})
	}
}

// Guards against a pause that a shorter one cuts, that never ends, or that counts for a later start of the replica.
func TestPause(t *testing.T) {
	r := Incarnation{ID: "r", Born: 1}
	tests := []struct {
		name   string
		pauses []time.Duration
		// end is when the pause is over, in milliseconds.
		end int
	}{
		{"one", []time.Duration{2 * time.Second}, 2000},
		{"a shorter one follows", []time.Duration{2 * time.Second, time.Second}, 2000},
		{"a longer one follows", []time.Duration{time.Second, 3 * time.Second}, 3000},
		{"too long", []time.Duration{time.Hour}, int(MaxRetryAfter.Milliseconds())},
		{"negative", []time.Duration{-time.Second}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHealthTracker()
			for _, d := range tt.pauses {
				h.Pause(r, d, at(0))
			}
			is.Equal(h.Paused(r, at(tt.end-1)), tt.end > 0)
			is.True(!h.Paused(r, at(tt.end)))
			is.True(!h.Paused(Incarnation{ID: "r", Born: 2}, at(0)))
		})
	}
}
