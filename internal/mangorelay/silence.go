package mangorelay

import (
	"slices"
	"sync/atomic"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// firstEventSoft and firstEventHard are the soft and hard limits of silence before the first event: after the soft
	// one the replicas are checked, after the hard one the send is given up. The first event comes after about 60 ms
	// under normal load.
	firstEventSoft = 250 * time.Millisecond
	firstEventHard = 900 * time.Millisecond
	// firstEventHardWaits is the least hard limit before the first event, in units of the estimated wait for a first
	// event in the chain's data centre.
	firstEventHardWaits = 3
	// gapSoft and gapHard are the same limits between events, which come every 20 to 30 ms under normal load. A gap of up to 250 ms
	// is on time; of this the check of a silent replica by hubs takes about 70 ms and a new chain about 60 ms. gapSoft holds for
	// streams with few gaps; the soft limit of others is estimated from their gaps (gapEstimator) and mostly shorter. gapHard does not depend on it, since
	// a daemon begins its own checks only after stallCheckAfter.
	gapSoft = 60 * time.Millisecond
	gapHard = 600 * time.Millisecond
	// gapSoftMeanGaps and gapHardMeanGaps are the least limits between events in units of the stream's mean gap: on slow
	// replicas every gap is long, and another chain would be no better.
	gapSoftMeanGaps = 3
	gapHardMeanGaps = 8
	// stallCheckAfter is the silence after which the first replica is asked for its stalled requests; its report is about
	// 200 ms old.
	stallCheckAfter = 300 * time.Millisecond
	// silencePoll is the interval at which the known state of the replicas of a silent chain is read again.
	silencePoll = 25 * time.Millisecond
	// latePollDelay is the delay from which a poll of the silence counts as late: this process did not run meanwhile, so the next event
	// may have arrived without being read. The read then goes on for lateReadWait before replicas are checked.
	latePollDelay = 5 * time.Millisecond
	lateReadWait  = time.Millisecond
	// plainHardMin is the least time for which a plain idempotent request waits before another replica is tried.
	plainHardMin = 250 * time.Millisecond
	// plainHardTargets is this time in units of the route's target.
	plainHardTargets = 2
	// noLimit is longer than any deadline; the context ends the wait.
	noLimit = time.Hour
)

// silenceLimiter decides how long a send waits for further bytes of its answer.
type silenceLimiter struct {
	call   *call
	target target
	// replicaLost says that a replica of the target has been found lost since the send.
	replicaLost atomic.Bool
	// repair changes the path when a stage is lost; nil if that is not possible for this request.
	repair *pathRepair
	// nextPollAt is when remainingWait is to be called next, and extended says that the read went on for lateReadWait in this silence.
	// It does so once only, so that a process that is always late has replicas checked too.
	nextPollAt time.Time
	extended   bool
	// alternativeAt is when the relay last looked for another target, and alternative says whether there was one.
	alternativeAt time.Time
	alternative   bool
}

// remainingWait implements mangoconn.WaitPolicy: it returns how much longer to wait after a time of silence, or 0 to give
// up.
func (l *silenceLimiter) remainingWait(silent time.Duration) time.Duration {
	now := time.Now()
	late := !l.nextPollAt.IsZero() && now.Sub(l.nextPollAt) >= latePollDelay
	more := l.decideWait(silent, late)
	l.nextPollAt = now.Add(more)
	return more
}

// decideWait returns the result of remainingWait. late says that this poll of the silence came late.
func (l *silenceLimiter) decideWait(silent time.Duration, late bool) time.Duration {
	soft, hard := l.silenceLimits()
	if more, decided := l.awaitRepair(silent, soft); decided {
		return more
	}
	if silent >= hard && !l.hasAlternative(time.Now()) {
		hard = max(hard, l.call.longestSilence(l.target))
	}
	switch {
	case silent >= hard, l.call.withdrawn():
		return 0
	case l.replicaLost.Load() && l.anyPartAvoided(provenLost):
		return l.repairOrGiveUp(silent, soft)
	case silent < soft:
		l.extended = false
		return min(soft, hard) - silent
	case late && !l.extended && len(l.target.stages) > 0:
		l.extended = true
		return lateReadWait
	case l.leavesCutOff():
		return 0
	case len(l.target.stages) == 0:
		return l.untilNextCheck(soft, hard, silent)
	case l.anyPartAvoided(mangoreplica.Cause.LikelyDown), l.anyPartMoved():
		return l.repairOrGiveUp(silent, soft)
	}
	l.call.relay.checkSilentChain(l.target, l.call.request.ID, silent, soft)
	return min(silencePoll, hard-silent)
}

// silenceLimits returns the silence after which the replicas are checked, and that after which the send is given up.
func (l *silenceLimiter) silenceLimits() (soft, hard time.Duration) {
	c := l.call
	another := c.canContinueElsewhere() && c.attemptsWith(l.target.first) < c.route.MaxAttempts
	switch {
	case len(l.target.stages) == 0 && c.route.Kind != mangoroute.Stream:
		if !another {
			return noLimit, noLimit
		}
		hard = max(plainHardMin, plainHardTargets*c.route.LatencyTarget)
		return hard, hard
	case !another:
		// Nobody else can go on with the request, so it is not given up before its caller does.
		return firstEventSoft, c.silenceTolerance()
	case c.started:
		return c.gaps.limit(max(gapSoft, gapSoftMeanGaps*c.meanGap)), max(gapHard, 2*c.route.GapTarget, gapHardMeanGaps*c.meanGap)
	default:
		// A request that is given up in a queue only joins the end of that queue or another one.
		queue := firstEventHardWaits * c.relay.delays.Estimate(c.serviceName, l.target.dataCentre, time.Now())
		return firstEventSoft, min(max(firstEventHard, queue), c.silenceTolerance())
	}
}

// canContinueElsewhere reports whether another send can give the caller its answer. Of an answer that has begun, only a stream that may be
// resumed can go on elsewhere.
func (c *call) canContinueElsewhere() bool {
	if !c.route.Repeatable() {
		return false
	}
	return !c.started || (c.route.Kind == mangoroute.Stream && !c.position.unnumbered)
}

// anyPartMoved reports whether a replica of the chain started anew, or gave up layers that the chain uses. In the latter case
// it still serves the requests that use these unless it was ordered not to wait for them, which their silence shows.
func (l *silenceLimiter) anyPartMoved() bool {
	fleet := l.call.relay.state.View().Fleet
	return slices.ContainsFunc(l.target.stages, func(s mangopipeline.Stage) bool { return stageMoved(fleet, s) })
}

// stageMoved reports whether the replica of a stage started anew or gave up layers of the stage.
func stageMoved(fleet *mangoreplica.Fleet, s mangopipeline.Stage) bool {
	r := fleet.ByID(s.Replica.ID)
	return r != nil && (r.Born != s.Replica.Born || (r.ReleasingLayers && !r.Layers.Contains(s.Layers)))
}

// anyPartAvoided reports whether a replica of the chain is avoided for a cause that the function accepts.
func (l *silenceLimiter) anyPartAvoided(matches func(mangoreplica.Cause) bool) bool {
	outages := l.call.relay.health.Outages(time.Now())
	if len(outages) == 0 {
		return false
	}
	for _, p := range l.target.stages {
		if o, ok := outages[p.Replica.Incarnation()]; ok && matches(o.Cause) {
			return true
		}
	}
	return false
}
