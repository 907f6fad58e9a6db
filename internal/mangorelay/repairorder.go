package mangorelay

import (
	"time"

	"mangopath.org/mangopath/internal/mangorecovery"
)

// awaitOrder returns how much longer to wait for the answer to the order of a repair in progress; 0 gives up the send, which ends the
// order. mangorecovery.Abandon decides on that.
func (l *silenceLimiter) awaitOrder(silent, soft time.Duration) (time.Duration, bool) {
	now := time.Now()
	wasPaused := now.Sub(l.repair.polledAt) > repairPoll+maxPollDelay
	l.repair.polledAt = now
	if l.repair.orderedAt == nil || l.repair.orderedAt.Load() == 0 {
		return repairPoll, true
	}
	age := now.Sub(time.Unix(0, l.repair.orderedAt.Load()))
	l.repair.abandoned = mangorecovery.Abandon(l.pendingOrder(age, silent >= soft && !wasPaused, now))
	if l.repair.abandoned != mangorecovery.NotAbandoned {
		return 0, true
	}
	if wasPaused {
		return maxPollDelay, true
	}
	if left := mangorecovery.SilentOrderWait - age; left > 0 {
		return min(repairPoll, left), true
	}
	return repairPoll, true
}

// pendingOrder returns what is known of the order of a repair in progress, which was sent a time of age ago.
func (l *silenceLimiter) pendingOrder(age time.Duration, overdue bool, now time.Time) mangorecovery.PendingOrder {
	first := l.target.first.Incarnation()
	return mangorecovery.PendingOrder{
		FirstLost: provenLost(l.call.relay.health.Outages(now)[first].Cause),
		// Events in the first maxEventDelay after the order may have left the replica before it.
		FirstAlive: l.call.relay.inFlight.hasPassed(first, age-maxEventDelay, now),
		Age:        age, Overdue: overdue, CanRestart: l.repair.canRestart,
	}
}

// confirmByEvents turns the result of a repair whose last order has no answer into that of a changed path if the stream has had an event
// more than SilentOrderWait after that order. Events that had passed the lost stage before the order arrive up to 65 ms after it on a link
// that delays messages by 60 ms, and the new path first has a prefill of 60 ms or more. So a later event came along the new path, or no
// stage was lost; in both cases the stream runs.
func (l *silenceLimiter) confirmByEvents(r repairResult) repairResult {
	if r.answer != mangorecovery.AnswerUnknown || l.repair.orderedAt == nil || l.call.inFlight == nil {
		return r
	}
	if l.call.inFlight.lastEventAt.Load()-l.repair.orderedAt.Load() > int64(mangorecovery.SilentOrderWait) {
		r.answer, r.step = mangorecovery.AnswerBegun, mangorecovery.StepWait
	}
	return r
}
