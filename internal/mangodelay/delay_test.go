package mangodelay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// Guards against an estimate that ignores a queue until the first request has waited through it, and against one that stays
// high after the queue has gone or because a single request hangs.
func TestEstimate(t *testing.T) {
	tests := []struct {
		name  string
		apply func(e *Estimator)
		at    int
		low   time.Duration
		high  time.Duration
	}{
		{"no requests", func(*Estimator) {}, 0, 0, 0},
		{"steady waits", func(e *Estimator) {
			for ms := 0; ms < 1000; ms += 50 {
				e.Begin("s", "a", at(ms)).FirstEvent(at(ms + 60))
			}
		}, 1010, 50 * time.Millisecond, 61 * time.Millisecond},
		{"a queue before any first event", func(e *Estimator) {
			for ms := 0; ms < 800; ms += 100 {
				e.Begin("s", "a", at(ms))
			}
		}, 800, 400 * time.Millisecond, 600 * time.Millisecond},
		{"a single request hangs", func(e *Estimator) { e.Begin("s", "a", at(0)) }, 5000, 0, 0},
		{"the queue has gone", func(e *Estimator) {
			for ms := 0; ms < 500; ms += 100 {
				e.Begin("s", "a", at(ms)).FirstEvent(at(ms + 900))
			}
		}, 4000, 0, 60 * time.Millisecond},
		{"requests that ended without an event", func(e *Estimator) {
			for ms := 0; ms < 500; ms += 100 {
				e.Begin("s", "a", at(ms)).End()
			}
		}, 900, 0, 0},
		{"requests to another data centre", func(e *Estimator) {
			for ms := 0; ms < 500; ms += 100 {
				e.Begin("s", "b", at(ms))
			}
		}, 900, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := New()
			tt.apply(e)
			got := e.Estimate("s", "a", at(tt.at))
			if got < tt.low || got > tt.high {
				t.Errorf("estimate %v is not between %v and %v", got, tt.low, tt.high)
			}
			is.Equal(e.Estimate("other", "a", at(tt.at)), time.Duration(0))
		})
	}
}

// Guards against a request whose wait counts twice, or whose end removes other requests from the queue.
func TestPendingRequestEndsOnce(t *testing.T) {
	is := is.New(t)
	e := New()
	one, two, three := e.Begin("s", "a", at(0)), e.Begin("s", "a", at(0)), e.Begin("s", "a", at(0))
	one.FirstEvent(at(100))
	one.FirstEvent(at(5000))
	one.End()
	two.End()
	two.FirstEvent(at(5000))
	is.Equal(e.Estimate("s", "a", at(100)), 30*time.Millisecond)
	three.End()
}
