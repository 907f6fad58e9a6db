package mangoshutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stop whose times do not fit into the grace period, however short it is, and against one that gives up
// running requests long before its end.
func TestPlan(t *testing.T) {
	tests := []struct {
		name                     string
		gracePeriod              time.Duration
		deregistered, answeredBy time.Duration
	}{
		{"usual", 8 * time.Second, deregistrationTime, 6800 * time.Millisecond},
		{"long", time.Minute, deregistrationTime, 58800 * time.Millisecond},
		{"short", 3 * time.Second, deregistrationTime, 2500 * time.Millisecond},
		{"shorter than the checks of the load balancer", 1200 * time.Millisecond, time.Second, time.Second},
		{"none", 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			plan := NewPlan(now, tt.gracePeriod)
			is.Equal(plan.DeregisteredAt.Sub(now), tt.deregistered)
			is.Equal(plan.AnswerBy.Sub(now), tt.answeredBy)
		})
	}
}

// Guards against a daemon that does not tell its requests of the stop, or of its end.
func TestShutdownTellsOfStop(t *testing.T) {
	is := is.New(t)
	s := New()
	_, stopping := s.Plan()
	is.True(!stopping && !s.IsStopping())
	want := NewPlan(time.Now(), time.Second)
	s.Begin(want)
	plan, stopping := s.Plan()
	is.True(stopping && s.IsStopping())
	is.Equal(plan, want)
	is.NoErr(s.AnswerContext().Err())
	s.EndAnswers()
	is.True(s.AnswerContext().Err() != nil)
}
