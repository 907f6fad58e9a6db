package mangoshutdown

import "time"

const (
	// deregistrationTime is the time within which the load balancer notices that a daemon is not ready: it makes two checks, a
	// second apart. After it the load balancer sends callers there only if other daemons of the data centre are down, too.
	deregistrationTime = 2300 * time.Millisecond
	// maxExitMargin and exitMarginShare bound the part of the grace period that is left for last answers and the end of the
	// process, in time and as a share of the grace period.
	maxExitMargin   = 1200 * time.Millisecond
	exitMarginShare = 6
	// lastAnswerTime is the time after AnswerBy in which requests that still run get their last answer, and those that arrive a
	// refusal.
	lastAnswerTime = 500 * time.Millisecond
)

// Plan has the moments of a stop. It is immutable.
type Plan struct {
	// BeganAt is when the daemon was told to stop.
	BeganAt time.Time
	// DeregisteredAt is when the load balancer sends no new connections any more, unless it has no other daemon.
	DeregisteredAt time.Time
	// AnswerBy is when all requests have to be answered.
	AnswerBy time.Time
}

// NewPlan returns the plan of a stop that begins now and has to end within the grace period.
func NewPlan(now time.Time, gracePeriod time.Duration) Plan {
	answerBy := now.Add(gracePeriod - min(maxExitMargin, gracePeriod/exitMarginShare))
	deregisteredAt := now.Add(deregistrationTime)
	if deregisteredAt.After(answerBy) {
		deregisteredAt = answerBy
	}
	return Plan{BeganAt: now, DeregisteredAt: deregisteredAt, AnswerBy: answerBy}
}

// Phase returns the phase of the stop at a time.
func (p Plan) Phase(now time.Time) Phase {
	switch {
	case !now.After(p.DeregisteredAt):
		return Deregistering
	case now.Before(p.AnswerBy):
		return Draining
	default:
		return Closing
	}
}

// DrainComplete reports whether the drain can end: its time is over, or nothing runs and the load balancer sends no more
// callers. active is the number of requests that run, and pending that of connections whose caller may wait for an answer.
func (p Plan) DrainComplete(now time.Time, active int64, pending int) bool {
	switch p.Phase(now) {
	case Deregistering:
		return !now.Before(p.AnswerBy)
	case Draining:
		return active == 0 && pending == 0
	default:
		return true
	}
}

// LastAnswersBy returns the time up to which the last answers are written, for a drain that ended at a time.
func (p Plan) LastAnswersBy(drained time.Time) time.Time { return drained.Add(lastAnswerTime) }
