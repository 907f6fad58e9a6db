package mangorelay

import (
	"context"
	"sync/atomic"
	"time"

	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangoshutdown"
)

// Shutdown tells whether and until when the daemon stops. Its methods are safe for concurrent use.
type Shutdown interface {
	// Plan returns the times of the stop; stopping is false while the daemon runs normally.
	Plan() (plan mangoshutdown.Plan, stopping bool)
	// AnswerContext ends when the requests whose answer has not begun have to get their final answer.
	AnswerContext() context.Context
	// CutContext ends when answers that have begun are cut off.
	CutContext() context.Context
}

// noShutdown is the Shutdown of a relay that never stops.
type noShutdown struct{}

func (noShutdown) Plan() (mangoshutdown.Plan, bool) { return mangoshutdown.Plan{}, false }

func (noShutdown) AnswerContext() context.Context { return context.Background() }

func (noShutdown) CutContext() context.Context { return context.Background() }

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
	// A drain that had nothing left to do ends the answers before the time of the plan.
	admitted := c.relay.shutdown.AnswerContext().Err() == nil && plan.Admits(r, now)
	c.logLate(plan, r, admitted, now)
	return admitted
}

// isStopping reports whether the daemon stops.
func (r *Relay) isStopping() bool {
	_, stopping := r.shutdown.Plan()
	return stopping
}

// endWithShutdown ends a request by calling cancel: when the daemon no longer begins answers, unless that of the request has
// begun, and when it cuts answers off. The returned function ends that.
func (c *call) endWithShutdown(cancel context.CancelFunc) (stop func()) {
	stopAnswer := context.AfterFunc(c.relay.shutdown.AnswerContext(), func() {
		if c.gate.close() {
			cancel()
		}
	})
	cut := make(chan struct{})
	stopCut := context.AfterFunc(c.relay.shutdown.CutContext(), func() {
		defer close(cut)
		cancel()
		// A write to a caller that does not read must not outlast the daemon.
		_ = c.control.SetWriteDeadline(time.Now())
	})
	return func() {
		stopAnswer()
		if !stopCut() {
			// The connection must not be used after the handler has returned.
			<-cut
		}
	}
}

// endedByShutdown reports whether the stop of the daemon has ended the request.
func (c *call) endedByShutdown() bool {
	if c.started {
		return c.relay.shutdown.CutContext().Err() != nil
	}
	return c.relay.shutdown.AnswerContext().Err() != nil
}

// answerGate lets an answer begin until it is closed. It is safe for concurrent use.
type answerGate struct{ state atomic.Int32 }

const (
	gateOpen int32 = iota
	gateBegun
	gateClosed
)

// begin reports whether the answer may begin or has begun.
func (g *answerGate) begin() bool {
	return g.state.CompareAndSwap(gateOpen, gateBegun) || g.state.Load() == gateBegun
}

// close closes the gate; it reports false if the answer has begun.
func (g *answerGate) close() bool {
	return g.state.CompareAndSwap(gateOpen, gateClosed) || g.state.Load() == gateClosed
}
