package mangoshutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// lateRequest is a request that arrives while the daemon stops.
type lateRequest struct {
	Request
	// deregistered says that the load balancer had the time to notice the stop, and timeLeft is the time in which the daemon
	// still answers.
	deregistered bool
	timeLeft     time.Duration
}

// admitted reports whether the request can begin.
func (r lateRequest) admitted() bool {
	now := time.Now()
	plan := Plan{DeregisteredAt: now.Add(time.Second), AnswerBy: now.Add(r.timeLeft)}
	if r.deregistered {
		plan.DeregisteredAt = now.Add(-time.Second)
	}
	return plan.Admits(r.Request, now)
}

// Guards against requests that a stopping daemon begins and cannot finish, and against a refusal of those that it can: only the
// kind of a request decided, so one with a timeout of 4 s was begun 1.2 s before the end. The load is one stop with a grace
// period of 8 s, 6.8 s of which are for answers.
func TestRefusesNewRequests(t *testing.T) {
	s := time.Second
	tests := []struct {
		name string
		lateRequest
		want bool
	}{
		{"its deadline is earlier", lateRequest{timeLeft: 2 * s, Request: Request{Timeout: 1500 * time.Millisecond, Expected: 10 * s}}, true},
		{"its deadline is later, it is quick by its target", lateRequest{timeLeft: 4 * s, Request: Request{Timeout: 5 * s, Target: 1500 * time.Millisecond}}, true},
		{"its deadline is later, it is slow by its target", lateRequest{timeLeft: 2 * s, Request: Request{Timeout: 5 * s, Target: 1500 * time.Millisecond}}, false},
		{"its deadline is later, such requests are slow", lateRequest{timeLeft: 4 * s, Request: Request{Timeout: 5 * s, Target: s / 10, Expected: 3 * s}}, false},
		{"its deadline is later, such requests are quick", lateRequest{timeLeft: 4 * s, Request: Request{Timeout: 20 * s, Target: s / 10, Expected: s / 20}}, true},
		{"little time is left", lateRequest{timeLeft: 1100 * time.Millisecond, Request: Request{Repeatable: true, Timeout: 1500 * time.Millisecond, Expected: s / 50}}, false},
		{"no time is left", lateRequest{timeLeft: -s, Request: Request{Repeatable: true, Timeout: s}}, false},
		{"stream, the load balancer may not know", lateRequest{timeLeft: 5 * s, Request: Request{Stream: true, Repeatable: true, Timeout: 20 * s, Expected: 6 * s}}, true},
		{"stream that cannot resume, likewise", lateRequest{timeLeft: 5 * s, Request: Request{Stream: true, Timeout: 20 * s, Expected: 6 * s}}, false},
		{"stream that cannot resume, nothing is known", lateRequest{timeLeft: 5 * s, Request: Request{Stream: true, Timeout: 20 * s}}, true},
		{"stream, little time is left", lateRequest{timeLeft: s, Request: Request{Stream: true, Repeatable: true, Timeout: 20 * s}}, false},
		{"stream, the load balancer knows", lateRequest{deregistered: true, timeLeft: 4 * s, Request: Request{Stream: true, Repeatable: true, Timeout: 20 * s, Expected: 3 * s}}, false},
		{"stream, likewise, others were short", lateRequest{deregistered: true, timeLeft: 4 * s, Request: Request{Stream: true, Repeatable: true, Timeout: 20 * s, Expected: s}}, false},
		{"stream, likewise, nothing is known", lateRequest{deregistered: true, timeLeft: 4 * s, Request: Request{Stream: true, Repeatable: true, Timeout: 20 * s}}, false},
		{"stream, likewise, its deadline is earlier", lateRequest{deregistered: true, timeLeft: 4 * s, Request: Request{Stream: true, Timeout: 4 * s, Expected: 6 * s}}, true},
		{"the load balancer knows, others were quick", lateRequest{deregistered: true, timeLeft: 4 * s, Request: Request{Repeatable: true, Timeout: 20 * s, Target: s / 10, Expected: s / 50}}, false},
		{"likewise, its deadline is earlier", lateRequest{deregistered: true, timeLeft: 4 * s, Request: Request{Timeout: 4 * s, Target: 3 * s, Expected: 3 * s}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.admitted(), tt.want)
		})
	}
}

// Guards against a request that begins in a stop, is not sure to end in it and could have gone to another daemon, against a refusal
// of one that is sure to end, and against a decision that turns from refusing to beginning as time passes.
func TestLateRequestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 30000).Draw(t, name)) * time.Millisecond
		}
		r := Request{
			Stream: rapid.Bool().Draw(t, "stream"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Timeout: duration("timeout"), Expected: duration("expected"), Target: duration("target"),
		}
		plan := NewPlan(time.Now(), duration("grace"))
		arrived := plan.BeganAt.Add(duration("since"))
		sure := !arrived.Add(r.Timeout).After(plan.AnswerBy)
		known := arrived.After(plan.DeregisteredAt)
		admitted := plan.Admits(r, arrived)
		switch {
		case sure && !admitted:
			t.Fatalf("%+v is refused at %v of %+v", r, arrived, plan)
		case admitted && known && !sure:
			t.Fatalf("%+v begins at %v of %+v", r, arrived, plan)
		case admitted && !sure && !r.Repeatable && r.Expected > plan.AnswerBy.Sub(arrived):
			t.Fatalf("%+v begins at %v of %+v although such requests take longer", r, arrived, plan)
		}
		later := arrived.Add(duration("later"))
		if plan.Admits(r, later) && !admitted {
			t.Fatalf("%+v begins at %v of %+v and is refused at %v", r, later, plan, arrived)
		}
	})
}
