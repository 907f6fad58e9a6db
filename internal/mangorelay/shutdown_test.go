package mangorelay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangoroute"
)

// Guards against requests that a stopping daemon begins and cannot finish, and against a refusal of those that it can: only the
// kind of a request decided, so one with a timeout of 4 s was begun 1.2 s before the end. The load is one stop with a grace
// period of 8 s, 6.8 s of which are for answers.
func TestRefusesNewRequests(t *testing.T) {
	const plain, once, stream = mangoroute.Idempotent, mangoroute.NonIdempotent, mangoroute.Stream
	s := time.Second
	tests := []struct {
		name string
		lateRequest
		want bool
	}{
		{"its deadline is earlier", lateRequest{kind: once, timeLeft: 2 * s, timeout: 1500 * time.Millisecond, expected: 10 * s}, true},
		{"its deadline is later, it is quick by its target", lateRequest{kind: once, timeLeft: 4 * s, timeout: 5 * s, target: 1500 * time.Millisecond}, true},
		{"its deadline is later, it is slow by its target", lateRequest{kind: once, timeLeft: 2 * s, timeout: 5 * s, target: 1500 * time.Millisecond}, false},
		{"its deadline is later, such requests are slow", lateRequest{kind: once, timeLeft: 4 * s, timeout: 5 * s, target: s / 10, expected: 3 * s}, false},
		{"its deadline is later, such requests are quick", lateRequest{kind: once, timeLeft: 4 * s, timeout: 20 * s, target: s / 10, expected: s / 20}, true},
		{"little time is left", lateRequest{kind: plain, repeatable: true, timeLeft: 1100 * time.Millisecond, timeout: 1500 * time.Millisecond, expected: s / 50}, false},
		{"no time is left", lateRequest{kind: plain, repeatable: true, timeLeft: -s, timeout: s}, false},
		{"stream, the load balancer may not know", lateRequest{kind: stream, repeatable: true, timeLeft: 5 * s, timeout: 20 * s, expected: 6 * s}, true},
		{"stream that cannot resume, likewise", lateRequest{kind: stream, timeLeft: 5 * s, timeout: 20 * s, expected: 6 * s}, false},
		{"stream that cannot resume, nothing is known", lateRequest{kind: stream, timeLeft: 5 * s, timeout: 20 * s}, true},
		{"stream, the load balancer knows", lateRequest{kind: stream, repeatable: true, deregistered: true, timeLeft: 4 * s, timeout: 20 * s, expected: 3 * s}, false},
		{"short stream, the load balancer knows", lateRequest{kind: stream, repeatable: true, deregistered: true, timeLeft: 4 * s, timeout: 20 * s, expected: s}, true},
		{"stream of which nothing is known, likewise", lateRequest{kind: stream, repeatable: true, deregistered: true, timeLeft: 4 * s, timeout: 20 * s}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.canFinish(), tt.want)
		})
	}
}

// Guards against a request that may not be repeated and is begun although such requests lately took longer than what is left,
// and against a decision that turns from refusing to beginning as time passes.
func TestLateRequestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 30000).Draw(t, name)) * time.Millisecond
		}
		r := lateRequest{
			kind:       rapid.SampledFrom([]mangoroute.Kind{mangoroute.Idempotent, mangoroute.NonIdempotent, mangoroute.Stream}).Draw(t, "kind"),
			repeatable: rapid.Bool().Draw(t, "repeatable"), deregistered: rapid.Bool().Draw(t, "deregistered"),
			timeLeft: duration("left"), timeout: duration("timeout"), expected: duration("expected"), target: duration("target"),
		}
		if r.canFinish() && !r.repeatable && r.expected > r.timeLeft && r.timeout > r.timeLeft {
			t.Fatalf("%+v begins", r)
		}
		later := r
		later.timeLeft -= duration("later")
		if later.canFinish() && !r.canFinish() {
			t.Fatalf("%+v begins although %+v does not", later, r)
		}
	})
}
