package mangorelay

import (
	"sync/atomic"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// firstSoft and firstHard are the times without a first event after which the cause is looked for and the chain is
	// given up. The first event comes after about 60 ms on a calm day.
	firstSoft = 250 * time.Millisecond
	firstHard = 900 * time.Millisecond
	// queueWaits is the least of these times in units of the wait that is usual for the chain's data centre at the moment.
	queueWaits = 3
	// gapSoft and gapHard are the same for the time between events, which is about 30 ms on a calm day. A stream is on
	// time with pauses up to 200 ms, of which a new chain needs about 60.
	gapSoft = 100 * time.Millisecond
	gapHard = 600 * time.Millisecond
	// softGaps and hardGaps are the least of these times in units of the usual pause of the stream: on slow replicas every
	// pause is long, and another chain would be no better.
	softGaps = 3
	hardGaps = 8
	// lastHard is the limit when no other chain may be tried; callers leave a stream after 2 s of silence.
	lastHard = 2400 * time.Millisecond
	// reportAfter is the silence after which the first replica is asked what it waits for; its report is about 200 ms old.
	reportAfter = 300 * time.Millisecond
	// stallPoll is the time between two looks at what is known about a chain that is silent.
	stallPoll = 25 * time.Millisecond
	// plainHardMin is the least time for which an idempotent request waits before another replica is tried.
	plainHardMin = 250 * time.Millisecond
	// plainHardTargets is that time in units of the route's target.
	plainHardTargets = 2
	// unbounded is longer than any deadline; the context ends the wait.
	unbounded = time.Hour
)

// watch decides how long a try waits for bytes.
type watch struct {
	call   *call
	target target
	// woken says that a replica of the target was found lost since the send.
	woken atomic.Bool
}

// wait implements mangoconn.Patience.
func (w *watch) wait(silent time.Duration) time.Duration {
	soft, hard := w.limits()
	switch {
	case silent >= hard:
		return 0
	case w.woken.Load() && w.partLost(func(c mangoreplica.Cause) bool { return c == mangoreplica.CauseEnded }):
		// No event can come through a process that has ended.
		return 0
	case silent < soft:
		return min(soft, hard) - silent
	case len(w.target.parts) == 0:
		return hard - silent
	case w.partLost(mangoreplica.Cause.LikelyDown), w.partMoved():
		return 0
	}
	w.call.relay.examine(w.target, w.call.request.ID)
	if silent >= reportAfter {
		w.call.relay.diagnose(w.target.first, w.call.request.ID)
	}
	return min(stallPoll, hard-silent)
}

// limits returns the times of silence after which the cause is looked for and the try is given up.
func (w *watch) limits() (soft, hard time.Duration) {
	c := w.call
	another := c.route.Repeatable() && c.attempts(w.target.first) < c.route.MaxAttempts
	switch {
	case len(w.target.parts) == 0 && c.route.Kind != mangoroute.Stream:
		if !another {
			return unbounded, unbounded
		}
		hard = max(plainHardMin, plainHardTargets*c.route.LatencyTarget)
		return hard, hard
	case !another:
		return firstSoft, lastHard
	case c.started:
		return max(gapSoft, softGaps*c.usualGap), max(gapHard, 2*c.route.GapTarget, hardGaps*c.usualGap)
	default:
		// A request that waits in a queue gains nothing by waiting in it again from its end.
		queue := queueWaits * c.relay.delays.Estimate(c.serviceName, w.target.dataCentre, time.Now())
		return firstSoft, min(max(firstHard, queue), lastHard)
	}
}

// partMoved reports whether a replica of the chain gave up layers that the chain uses. It still serves the requests that pass
// through them unless it was ordered not to wait for these, which their silence shows.
func (w *watch) partMoved() bool {
	fleet := w.call.relay.state.View().Fleet
	for _, p := range w.target.parts {
		r := fleet.ByID(p.Replica.ID)
		if r != nil && r.ReleasingLayers && r.Born == p.Replica.Born && !r.Layers.Contains(p.Layers) {
			return true
		}
	}
	return false
}

// partLost reports whether a replica of the chain is avoided for a cause of some kind.
func (w *watch) partLost(kind func(mangoreplica.Cause) bool) bool {
	outages := w.call.relay.board.Outages(time.Now())
	if len(outages) == 0 {
		return false
	}
	for _, p := range w.target.parts {
		if o, ok := outages[p.Replica.Incarnation()]; ok && kind(o.Cause) {
			return true
		}
	}
	return false
}
