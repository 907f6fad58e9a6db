package mangocall

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against deadlines below the floor or above the ceiling, and against prefill times that loosen decode limits.
func TestEstimatorLimit(t *testing.T) {
	const floor, ceiling, prefill = 100 * time.Millisecond, time.Second, 5 * time.Second
	cases := []struct {
		name string
		took time.Duration
		low  time.Duration
		high time.Duration
	}{
		{"fast host", time.Millisecond, floor, floor},
		{"usual host", 40 * time.Millisecond, 160 * time.Millisecond, 250 * time.Millisecond},
		{"slow host", 400 * time.Millisecond, ceiling, ceiling},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newEstimator(&options{floor: floor, ceiling: ceiling, prefillCeiling: prefill})
			is.Equal(e.limit(stepKind{host: "h"}), ceiling/2) // a second connection must fit below the ceiling
			is.Equal(e.limit(stepKind{host: "h", prefill: true}), ceiling)
			for range 50 {
				e.add(stepKind{host: "h"}, c.took)
				e.add(stepKind{host: "h", prefill: true}, 2*time.Second)
			}
			limit := e.limit(stepKind{host: "h"})
			is.True(c.low <= limit && limit <= c.high)
			is.Equal(e.limit(stepKind{host: "h", prefill: true}), prefill)
		})
	}
}

// Guards against retries beyond a proportion of successes, and against one profile that uses up another's retries.
func TestBudget(t *testing.T) {
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
	is.Equal(take("b"), 0) // the process has none left
	for range 8 {
		b.AddSuccess("a")
	}
	is.Equal(take("a"), 2)
	for range 100 {
		b.AddSuccess("b")
	}
	is.Equal(take("a"), 0) // the process has some, the profile has none
	is.Equal(take("b"), 4)
}
