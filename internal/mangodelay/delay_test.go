package mangodelay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// Guards against a queue that is noticed only after its first request has waited through it, and against requests that are
// turned away after the queue has gone or because a single one hangs.
func TestEstimate(t *testing.T) {
	tests := []struct {
		name  string
		apply func(d *Estimator)
		at    int
		low   time.Duration
		high  time.Duration
	}{
		{"nothing known", func(*Estimator) {}, 0, 0, 0},
		{"steady waits", func(d *Estimator) {
			for ms := 0; ms < 1000; ms += 50 {
				d.Begin("s", "a", at(ms)).FirstEvent(at(ms + 60))
			}
		}, 1010, 50 * time.Millisecond, 61 * time.Millisecond},
		{"a queue without any first event", func(d *Estimator) {
			for ms := 0; ms < 800; ms += 100 {
				d.Begin("s", "a", at(ms))
			}
		}, 800, 400 * time.Millisecond, 600 * time.Millisecond},
		{"one request hangs", func(d *Estimator) { d.Begin("s", "a", at(0)) }, 5000, 0, 0},
		{"the queue ended", func(d *Estimator) {
			for ms := 0; ms < 500; ms += 100 {
				d.Begin("s", "a", at(ms)).FirstEvent(at(ms + 900))
			}
		}, 4000, 0, 60 * time.Millisecond},
		{"requests that left", func(d *Estimator) {
			for ms := 0; ms < 500; ms += 100 {
				d.Begin("s", "a", at(ms)).End()
			}
		}, 900, 0, 0},
		{"another data centre", func(d *Estimator) {
			for ms := 0; ms < 500; ms += 100 {
				d.Begin("s", "b", at(ms))
			}
		}, 900, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := New()
			tt.apply(d)
			got := d.Estimate("s", "a", at(tt.at))
			if got < tt.low || got > tt.high {
				t.Errorf("%v is not between %v and %v", got, tt.low, tt.high)
			}
			is.Equal(d.Estimate("other", "a", at(tt.at)), time.Duration(0))
		})
	}
}

// Guards against a request that counts twice, or whose end makes the queue forget others.
func TestSendEndsOnce(t *testing.T) {
	is := is.New(t)
	d := New()
	one, two, three := d.Begin("s", "a", at(0)), d.Begin("s", "a", at(0)), d.Begin("s", "a", at(0))
	one.FirstEvent(at(100))
	one.FirstEvent(at(5000))
	one.End()
	two.End()
	two.FirstEvent(at(5000))
	is.Equal(d.Estimate("s", "a", at(100)), 30*time.Millisecond)
	three.End()
}
