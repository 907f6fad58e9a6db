package mangoreplica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns the time that is a number of milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// Guards against trying a replica that refuses all requests every 400 ms, each time with many requests at once, and against
// avoiding a replica for long because of refusals at the same time.
func TestRefusalBackoff(t *testing.T) {
	type step struct {
		at     int
		served bool
		want   time.Duration
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"refusals at the same time count once", []step{{0, false, 400 * time.Millisecond}, {10, false, 400 * time.Millisecond}, {20, false, 400 * time.Millisecond}}},
		{"refusals in a row", []step{
			{0, false, 400 * time.Millisecond},
			{500, false, 800 * time.Millisecond},
			{1400, false, 1600 * time.Millisecond},
			{3100, false, 3200 * time.Millisecond},
			{6400, false, 3200 * time.Millisecond},
		}},
		{"an answer between refusals", []step{{0, false, 400 * time.Millisecond}, {500, true, 0}, {600, false, 400 * time.Millisecond}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, r := NewHealthTracker(), Incarnation{ID: "r"}
			for _, s := range tt.steps {
				if s.served {
					h.ResetRefusals(r)
					continue
				}
				hold := h.RecordRefusal(r, at(s.at))
				is.Equal(hold, s.want)
				h.Avoid(r, CauseFaulty, hold, at(s.at))
			}
		})
	}
}

// Guards against keeping the cause Faulty for a replica that turns out to be down, so that the other daemons are not told.
func TestMoreSevereCauseReplaces(t *testing.T) {
	tests := []struct {
		name        string
		first, then Cause
		isNew       bool
		want        Cause
	}{
		{"the same again", CauseFaulty, CauseFaulty, false, CauseFaulty},
		{"faulty, then unreachable", CauseFaulty, CauseUnreachable, true, CauseUnreachable},
		{"faulty, then leaving", CauseFaulty, CauseLeaving, true, CauseLeaving},
		{"unreachable, then ended", CauseUnreachable, CauseEnded, true, CauseEnded},
		{"ended, then unreachable", CauseEnded, CauseUnreachable, false, CauseEnded},
		{"leaving, then faulty", CauseLeaving, CauseFaulty, false, CauseLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, r := NewHealthTracker(), Incarnation{ID: "r"}
			is.True(h.Avoid(r, tt.first, 2*time.Second, at(0)))
			is.Equal(h.Avoid(r, tt.then, time.Second, at(100)), tt.isNew)
			is.Equal(h.Outages(at(200))[r].Cause, tt.want)
			is.True(h.Avoided(r, at(200)))
			is.Equal(h.CertainToFail(r, at(200)), tt.want.CertainToFail())
		})
	}
}

// Guards against sending a replica that loses or fails a part of its answers as many requests as the others, and against
// never trying it again.
func TestFailureRate(t *testing.T) {
	tests := []struct {
		name      string
		results   []bool
		age       int
		low, high float64
	}{
		{"never failed", []bool{false, false}, 0, 0, 0},
		{"failed once", []bool{true}, 0, 0.19, 0.21},
		{"fails every second request", []bool{true, false, true, false, true, false, true, false}, 0, 0.3, 0.5},
		{"fails all", []bool{true, true, true, true, true, true, true, true, true, true}, 0, 0.85, 1},
		{"failed some time ago", []bool{true, true, true, true}, 8000, 0, 0.05},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, r := NewHealthTracker(), Incarnation{ID: "r"}
			for _, failed := range tt.results {
				h.RecordResult(r, failed, at(0))
			}
			if got := h.FailureRate(r, at(tt.age)); got < tt.low || got > tt.high {
				t.Errorf("%v is not between %v and %v", got, tt.low, tt.high)
			}
		})
	}
}
