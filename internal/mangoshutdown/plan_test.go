package mangoshutdown

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a stop whose times do not fit into the grace period, however short it is, and against one that gives up
// running requests long before its end.
func TestPlan(t *testing.T) {
	tests := []struct {
		name                            string
		gracePeriod                     time.Duration
		deregistered, answeredBy, cutBy time.Duration
	}{
		{"usual", 8 * time.Second, deregistrationTime, 6800 * time.Millisecond, 7500 * time.Millisecond},
		{"long", time.Minute, deregistrationTime, 58800 * time.Millisecond, 59500 * time.Millisecond},
		{"short", 3 * time.Second, deregistrationTime, 2500 * time.Millisecond, 2812500 * time.Microsecond},
		{"shorter than the checks of the load balancer", 1200 * time.Millisecond, time.Second, time.Second, 1125 * time.Millisecond},
		{"none", 0, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			plan := NewPlan(now, tt.gracePeriod)
			is.Equal(plan.DeregisteredAt.Sub(now), tt.deregistered)
			is.Equal(plan.AnswerBy.Sub(now), tt.answeredBy)
			is.Equal(plan.CutBy.Sub(now), tt.cutBy)
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
	is.NoErr(s.CutContext().Err())
	s.Cut()
	is.True(s.CutContext().Err() != nil)
}

// Guards against a stop whose moments are out of order or beyond the grace period, and against a phase that comes back.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gracePeriod := time.Duration(rapid.IntRange(0, 120000).Draw(t, "grace")) * time.Millisecond
		p := NewPlan(time.Now(), gracePeriod)
		moments := []time.Time{p.BeganAt, p.DeregisteredAt, p.AnswerBy, p.CutBy, p.CloseBy, p.BeganAt.Add(gracePeriod)}
		if !slices.IsSortedFunc(moments, time.Time.Compare) {
			t.Fatalf("moments %v", moments)
		}
		early := time.Duration(rapid.IntRange(0, 130000).Draw(t, "early")) * time.Millisecond
		late := early + time.Duration(rapid.IntRange(0, 130000).Draw(t, "late"))*time.Millisecond
		if p.Phase(p.BeganAt.Add(late)) < p.Phase(p.BeganAt.Add(early)) {
			t.Fatalf("phase %v after %v", p.Phase(p.BeganAt.Add(late)), p.Phase(p.BeganAt.Add(early)))
		}
		if now := p.BeganAt.Add(late); p.DrainComplete(now, 1, 1) && now.Before(p.AnswerBy) {
			t.Fatalf("the drain ends at %v although requests run", late)
		}
	})
}
