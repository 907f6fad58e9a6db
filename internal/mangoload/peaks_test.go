package mangoload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPeaksKeepMeanRate guards against peaks that change the mean rate or do not raise the load by their factor: a quarter
// of the time at 3 times the rate must hold three quarters of the calls.
func TestPeaksKeepMeanRate(t *testing.T) {
	is := is.New(t)
	plan := testPlan("http://x")
	plan.DurationMs, plan.Kinds[0].Rate = 40_000, 500
	plan.Peaks = &Peaks{PeriodMs: 2000, LengthMs: 500, Factor: 3}
	is.NoErr(plan.validate())
	all := plan.schedule()
	is.True(len(all) > 19_400 && len(all) < 20_600)
	inPeak := 0
	for _, a := range all {
		if a.offset%(2*time.Second) < 500*time.Millisecond {
			inPeak++
		}
	}
	is.True(float64(inPeak) > 0.73*float64(len(all)) && float64(inPeak) < 0.77*float64(len(all)))
	plan.Peaks = &Peaks{PeriodMs: 2000, LengthMs: 1000, Factor: 3}
	is.True(plan.validate() != nil) // a peak of 3 times the rate for half of the time would exceed the mean
}

// TestWarmupAndCooldownAreNotCounted guards against counting calls of the warm-up or of the cool-down, when the fleet is not
// under the planned load.
func TestWarmupAndCooldownAreNotCounted(t *testing.T) {
	is := is.New(t)
	plan := testPlan("http://127.0.0.1:1")
	plan.CooldownMs, plan.WarmupMs = 100, 100
	is.NoErr(plan.validate())
	counted := 0
	for _, a := range plan.schedule() {
		if a.offset >= 100*time.Millisecond && a.offset < 300*time.Millisecond {
			counted++
		}
	}
	result := New(plan).Run(t.Context())
	is.Equal(result.Total.Sent, counted)
	is.Equal(result.Seconds, 0.2)
	plan.CooldownMs = 300
	is.True(plan.validate() != nil) // warm-up and cool-down leave no time to count
}
