package mangoduration

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an expected duration that hides slow requests behind many fast ones, or that keeps a slow one for ever.
func TestExpected(t *testing.T) {
	repeat := func(d time.Duration, n int) []time.Duration {
		list := make([]time.Duration, n)
		for i := range list {
			list[i] = d
		}
		return list
	}
	tests := []struct {
		name      string
		durations []time.Duration
		low, high time.Duration
	}{
		{"no request", nil, 0, 0},
		{"one", repeat(time.Second, 1), time.Second, time.Second},
		{"a slow one among fast ones", append(repeat(10*time.Millisecond, 100), time.Second), time.Second, time.Second},
		{"a few after a slow one", append([]time.Duration{time.Second}, repeat(10*time.Millisecond, 10)...), 800 * time.Millisecond, time.Second},
		{"many after a slow one", append([]time.Duration{time.Second}, repeat(10*time.Millisecond, 400)...), 10 * time.Millisecond, 12 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracker := New()
			for _, d := range tt.durations {
				tracker.Record("r", d)
			}
			is.True(tracker.Expected("r") >= tt.low)
			is.True(tracker.Expected("r") <= tt.high)
			is.Equal(tracker.Expected("other"), time.Duration(0))
		})
	}
}

// Guards against an expected duration below that of the last request or above the longest of all.
func TestExpectedBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New()
		longest := time.Duration(0)
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 100000), 1, 100).Draw(t, "durations") {
			took := time.Duration(ms) * time.Millisecond
			longest = max(longest, took)
			tracker.Record("r", took)
			if e := tracker.Expected("r"); e < took || e > longest {
				t.Fatalf("expected %v after %v, longest %v", e, took, longest)
			}
		}
	})
}

// Guards against memory that grows with each route that any configuration ever had.
func TestRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for i := range 3 * maxRoutes {
		tracker.Record(fmt.Sprint(i), time.Second)
	}
	is.True(len(tracker.expected) <= maxRoutes)
	is.Equal(tracker.Expected(fmt.Sprint(3*maxRoutes-1)), time.Second)
}
