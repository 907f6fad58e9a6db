package mangocall

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against timeouts below the minimum or above the maximum, and against prefill durations that lengthen the timeouts
// of decode steps.
func TestTimeoutEstimator(t *testing.T) {
	const minTimeout, maxTimeout, maxPrefillTimeout = 100 * time.Millisecond, time.Second, 5 * time.Second
	cases := []struct {
		name string
		took time.Duration
		low  time.Duration
		high time.Duration
	}{
		{"fast host", time.Millisecond, minTimeout, minTimeout},
		{"usual host", 40 * time.Millisecond, 160 * time.Millisecond, 250 * time.Millisecond},
		{"slow host", 400 * time.Millisecond, maxTimeout, maxTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newTimeoutEstimator(&options{minTimeout: minTimeout, maxTimeout: maxTimeout, maxPrefillTimeout: maxPrefillTimeout})
			is.Equal(e.timeout(stepClass{host: "h"}), maxTimeout/2) // leaves the other half for a second connection
			is.Equal(e.timeout(stepClass{host: "h", prefill: true}), maxTimeout)
			for range 50 {
				e.add(stepClass{host: "h"}, c.took)
				e.add(stepClass{host: "h", prefill: true}, 2*time.Second)
			}
			timeout := e.timeout(stepClass{host: "h"})
			is.True(c.low <= timeout && timeout <= c.high)
			is.Equal(e.timeout(stepClass{host: "h", prefill: true}), maxPrefillTimeout)
		})
	}
}

// Guards against more retries than a proportion of successful calls, and against a profile that uses up another's retries.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(0.25, 2, 4)
	take := func(profile string) int {
		n := 0
		for b.Take(profile) {
			n++
		}
		return n
	}
	is.Equal(take("a"), 2)
	is.Equal(take("b"), 0) // the process has no retries left
	for range 8 {
		b.AddSuccess("a")
	}
	is.Equal(take("a"), 2)
	for range 100 {
		b.AddSuccess("b")
	}
	is.Equal(take("a"), 0) // the process has retries left, the profile has none
	is.Equal(take("b"), 4)
}
