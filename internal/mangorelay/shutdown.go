package mangorelay

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangoshutdown"
)

// Shutdown tells whether and until when the daemon stops. Its methods are safe for concurrent use.
type Shutdown interface {
	// Plan returns the times of the stop; stopping is false while the daemon runs normally.
	Plan() (plan mangoshutdown.Plan, stopping bool)
	// AnswerContext ends when the requests that still run have to get their final answer.
	AnswerContext() context.Context
}

// noShutdown is the Shutdown of a relay that never stops.
type noShutdown struct{}

func (noShutdown) Plan() (mangoshutdown.Plan, bool) { return mangoshutdown.Plan{}, false }

func (noShutdown) AnswerContext() context.Context { return context.Background() }

// canFinishBeforeShutdown reports whether a request of the call's route can begin now. It is always true while the daemon does
// not stop.
func (c *call) canFinishBeforeShutdown(now time.Time) bool {
	plan, stopping := c.relay.shutdown.Plan()
	if !stopping {
		return true
	}
	r := mangoshutdown.Request{
		Stream: c.route.Kind == mangoroute.Stream, Repeatable: c.route.Repeatable(), Timeout: c.computeDeadline().Sub(now),
		Expected: c.relay.durations.Expected(c.route.Name), Target: c.route.LatencyTarget,
	}
	admitted := plan.Admits(r, now)
	c.logLate(plan, r, admitted, now)
	return admitted
}

// isStopping reports whether the daemon stops.
func (r *Relay) isStopping() bool {
	_, stopping := r.shutdown.Plan()
	return stopping
}
