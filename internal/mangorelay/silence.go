package mangorelay

import (
	"sync/atomic"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// firstEventSoft and firstHard are the times without a first event after which the cause is looked for and the chain is
	// given up. The first event comes after about 60 ms on a calm day.
	firstEventSoft = 250 * time.Millisecond
	firstEventHard = 900 * time.Millisecond
	// firstEventHardWaits is the least of these times in units of the wait that is usual for the chain's data centre at the moment.
	firstEventHardWaits = 3
	// gapSoft and gapHard are the same for the time between events, which is about 30 ms on a calm day. A stream is on
	// time with pauses up to 200 ms, of which a new chain needs about 60.
	gapSoft = 100 * time.Millisecond
	gapHard = 600 * time.Millisecond
	// gapSoftMeanGaps and hardGaps are the least of these times in units of the usual pause of the stream: on slow replicas every
	// pause is long, and another chain would be no better.
	gapSoftMeanGaps = 3
	gapHardMeanGaps = 8
	// lastAttemptHard is the limit when no other chain may be tried; callers leave a stream after 2 s of silence.
	lastAttemptHard = 2400 * time.Millisecond
	// stallCheckAfter is the silence after which the first replica is asked what it waits for; its report is about 200 ms old.
	stallCheckAfter = 300 * time.Millisecond
	// silencePoll is the time between two looks at what is known about a chain that is silent.
	silencePoll = 25 * time.Millisecond
	// plainHardMin is the least time for which an idempotent request waits before another replica is tried.
	plainHardMin = 250 * time.Millisecond
	// plainHardTargets is that time in units of the route's target.
	plainHardTargets = 2
	// noLimit is longer than any deadline; the context ends the wait.
	noLimit = time.Hour
)

// silenceLimiter decides how long a try waits for bytes.
type silenceLimiter struct {
	call   *call
	target target
	// replicaLost says that a replica of the target was found lost since the send.
	replicaLost atomic.Bool
}

// remainingWait implements mangoconn.Patience.
func (l *silenceLimiter) remainingWait(silent time.Duration) time.Duration {
	soft, hard := l.silenceLimits()
	switch {
	case silent >= hard:
		return 0
	case l.replicaLost.Load() && l.anyPartAvoided(func(c mangoreplica.Cause) bool { return c == mangoreplica.CauseEnded }):
		// No event can come through a process that has ended.
		return 0
	case silent < soft:
		return min(soft, hard) - silent
	case len(l.target.parts) == 0:
		return hard - silent
	case l.anyPartAvoided(mangoreplica.Cause.Lost), l.anyPartMoved():
		return 0
	}
	l.call.relay.checkChain(l.target, l.call.request.ID)
	if silent >= stallCheckAfter {
		l.call.relay.checkStalls(l.target.first, l.call.request.ID)
	}
	return min(silencePoll, hard-silent)
}

// silenceLimits returns the times of silence after which the cause is looked for and the try is given up.
func (l *silenceLimiter) silenceLimits() (soft, hard time.Duration) {
	c := l.call
	another := c.route.Repeatable() && c.attemptsWith(l.target.first) < c.route.MaxAttempts
	switch {
	case len(l.target.parts) == 0 && c.route.Kind != mangoroute.Stream:
		if !another {
			return noLimit, noLimit
		}
		hard = max(plainHardMin, plainHardTargets*c.route.Target)
		return hard, hard
	case !another:
		return firstEventSoft, lastAttemptHard
	case c.started:
		return max(gapSoft, gapSoftMeanGaps*c.meanGap), max(gapHard, 2*c.route.GapTarget, gapHardMeanGaps*c.meanGap)
	default:
		// A request that waits in a queue gains nothing by waiting in it again from its end.
		queue := firstEventHardWaits * c.relay.delays.Estimate(c.serviceName, l.target.dataCentre, time.Now())
		return firstEventSoft, min(max(firstEventHard, queue), lastAttemptHard)
	}
}

// anyPartMoved reports whether a replica of the chain gave up layers that the chain uses. It still serves the requests that pass
// through them unless it was ordered not to wait for these, which their silence shows.
func (l *silenceLimiter) anyPartMoved() bool {
	fleet := l.call.relay.state.View().Fleet
	for _, p := range l.target.parts {
		r := fleet.ByID(p.Replica.ID)
		if r != nil && r.Moving && r.Born == p.Replica.Born && !r.Layers.Holds(p.Layers) {
			return true
		}
	}
	return false
}

// anyPartAvoided reports whether a replica of the chain is avoided for a cause of some kind.
func (l *silenceLimiter) anyPartAvoided(kind func(mangoreplica.Cause) bool) bool {
	outages := l.call.relay.board.Outages(time.Now())
	if len(outages) == 0 {
		return false
	}
	for _, p := range l.target.parts {
		if o, ok := outages[p.Replica.Incarnation()]; ok && kind(o.Cause) {
			return true
		}
	}
	return false
}
