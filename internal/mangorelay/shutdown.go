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
	// DeregisteredAt is when the load balancer sends no new connections any more, unless it has no other daemon.
	DeregisteredAt time.Time
	// AnswerBy is when all requests have to be answered.
	AnswerBy time.Time
}

// noShutdown is the Shutdown of a relay that never stops.
type noShutdown struct{}

func (noShutdown) Plan() (ShutdownPlan, bool) { return ShutdownPlan{}, false }

func (noShutdown) AnswerContext() context.Context { return context.Background() }

// minTimeLeft is the least time before the end of a stop for a request to begin.
const minTimeLeft = 1200 * time.Millisecond

// canFinishBeforeShutdown reports whether a request of the call's route can begin now. It is always true while the daemon does
// not stop. A stream begins only while the load balancer may not have noticed the stop.
func (c *call) canFinishBeforeShutdown(now time.Time) bool {
	plan, stopping := c.relay.shutdown.Plan()
	switch {
	case !stopping:
		return true
	case c.route.Kind == mangoroute.Stream && now.After(plan.DeregisteredAt):
		return false
	default:
		return plan.AnswerBy.Sub(now) >= minTimeLeft
	}
}

// isStopping reports whether the daemon stops.
func (r *Relay) isStopping() bool {
	_, stopping := r.shutdown.Plan()
	return stopping
}
