package mangoreplica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pace that counts for longer than it is known, and against an old report that replaces a newer one.
func TestPace(t *testing.T) {
	now := time.Unix(100, 0)
	r := Incarnation{ID: "r", Born: 1}
	pace := func(slowness float64, after time.Duration) Pace {
		return Pace{Replica: r, Slowness: slowness, At: now.Add(after)}
	}
	tests := []struct {
		name  string
		paces []Pace
		after time.Duration
		want  float64
		slow  bool
	}{
		{"nothing known", nil, 0, 1, false},
		{"slow", []Pace{pace(12, 0)}, time.Second, 12, true},
		{"a little slow", []Pace{pace(1.5, 0)}, time.Second, 1.5, false},
		{"faster than usual", []Pace{pace(0.5, 0)}, 0, 1, false},
		{"long ago", []Pace{pace(12, 0)}, paceAge + 1, 1, false},
		{"well again", []Pace{pace(12, 0), pace(1, time.Second)}, time.Second, 1, false},
		{"an older report comes later", []Pace{pace(12, time.Second), pace(1, 0)}, time.Second, 12, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := NewHealthTracker()
			for _, p := range tt.paces {
				b.RecordPace(p)
			}
			is.Equal(b.Slowness(r, now.Add(tt.after)), tt.want)
			is.Equal(b.Slow(r, now.Add(tt.after)), tt.slow)
			is.Equal(b.Slowness(Incarnation{ID: "r", Born: 2}, now.Add(tt.after)), 1.0)
		})
	}
	is := is.New(t)
	b := NewHealthTracker()
	is.True(b.RecordPace(pace(12, 0)))
	is.True(!b.RecordPace(pace(11, time.Second))) // still slow
	is.True(b.RecordPace(pace(1, 2*time.Second)))
}
