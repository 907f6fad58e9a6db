package mangorelay

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangoroute"
)

// Shutdown tells whether and until when the daemon stops. Its methods are safe for concurrent use.
type Shutdown interface {
	// Plan returns the times of the stop; stopping is false while the daemon runs normally.
	Plan() (plan ShutdownPlan, stopping bool)
	// AnswerContext ends when the requests that still run have to get their final answer.
	AnswerContext() context.Context
}

// ShutdownPlan has the times of a stop.
type ShutdownPlan struct {
	// BeganAt is when the daemon was told to stop.
	BeganAt time.Time
	// DeregisteredAt is when the load balancer sends no new connections any more, unless it has no other daemon.
	DeregisteredAt time.Time
	// AnswerBy is when all requests have to be answered.
	AnswerBy time.Time
}

// noShutdown is the Shutdown of a relay that never stops.
type noShutdown struct{}

func (noShutdown) Plan() (ShutdownPlan, bool) { return ShutdownPlan{}, false }

func (noShutdown) AnswerContext() context.Context { return context.Background() }

const (
	// minTimeLeft is the least time before the end of a stop for a request to begin whose own deadline is later.
	minTimeLeft = 1200 * time.Millisecond
	// durationMargin is how many times the expected duration has to be left for a request to begin whose own deadline is later:
	// the expected duration is that of the slowest recent requests.
	durationMargin = 2
)

// lateRequest is a request that arrives while the daemon stops.
type lateRequest struct {
	kind mangoroute.Kind
	// repeatable says that the request may run more than once.
	repeatable bool
	// deregistered says that the load balancer had the time to notice the stop.
	deregistered bool
	// timeLeft is the time in which the daemon still answers, and timeout the time until the request's own deadline.
	timeLeft, timeout time.Duration
	// expected is how long such requests take, 0 if that is not known, and target is how long they should take at most.
	expected, target time.Duration
}

// canFinish reports whether the request can begin: it surely ends before the daemon does, or, by what is known of such requests,
// most probably. A request that may not be repeated must not begin and then be cut off. The target of a stream bounds only its
// first event, so a stream of which nothing is known begins only while the load balancer cannot know better.
func (r lateRequest) canFinish() bool {
	switch {
	case r.timeout <= r.timeLeft:
		return true
	case r.kind == mangoroute.Stream && !r.deregistered:
		return r.repeatable || r.expected <= r.timeLeft
	case r.kind == mangoroute.Stream:
		return r.expected > 0 && durationMargin*r.expected <= r.timeLeft
	default:
		return r.timeLeft >= max(minTimeLeft, durationMargin*max(r.expected, r.target))
	}
}

// canFinishBeforeShutdown reports whether a request of the call's route can begin now. It is always true while the daemon does
// not stop.
func (c *call) canFinishBeforeShutdown(now time.Time) bool {
	plan, stopping := c.relay.shutdown.Plan()
	if !stopping {
		return true
	}
	r := lateRequest{
		kind: c.route.Kind, repeatable: c.route.Repeatable(), deregistered: now.After(plan.DeregisteredAt),
		timeLeft: plan.AnswerBy.Sub(now), timeout: c.computeDeadline().Sub(now),
		expected: c.relay.durations.Expected(c.route.Name), target: c.route.LatencyTarget,
	}
	begins := r.canFinish()
	c.logLate(r, begins, now.Sub(plan.BeganAt))
	return begins
}

// isStopping reports whether the daemon stops.
func (r *Relay) isStopping() bool {
	_, stopping := r.shutdown.Plan()
	return stopping
}
