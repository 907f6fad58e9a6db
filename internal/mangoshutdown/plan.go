package mangoshutdown

import "time"

const (
	// deregistrationTime is the time within which the load balancer notices that a daemon is not ready: it makes two checks, a
	// second apart. After it the load balancer sends callers there only if other daemons of the data centre are down, too.
	deregistrationTime = 2300 * time.Millisecond
	// maxAnswerMargin and answerMarginShare bound the part of the grace period between AnswerBy and its end, in time and as a share
	// of the grace period. A daemon may handle the signal later than it was sent, and the last answers need time on their way.
	maxAnswerMargin   = 1200 * time.Millisecond
	answerMarginShare = 6
	// maxCutMargin and cutMarginShare bound the part of the grace period between CutBy and its end in the same way. Nothing is
	// answered after CutBy, so it is only for the end of the process.
	maxCutMargin   = 500 * time.Millisecond
	cutMarginShare = 16
	// closeShare is the share of that part in which the cut requests end and their connections are closed.
	closeShare = 0.4
)

// Plan has the moments of a stop. It is immutable.
type Plan struct {
	// BeganAt is when the daemon was told to stop.
	BeganAt time.Time
	// DeregisteredAt is when the load balancer sends no new connections any more, unless it has no other daemon.
	DeregisteredAt time.Time
	// AnswerBy is when all requests have to be answered whose answer has not begun.
	AnswerBy time.Time
	// CutBy is when answers that have begun are cut off.
	CutBy time.Time
	// CloseBy is when all connections are closed and the process begins to end.
	CloseBy time.Time
}

// NewPlan returns the plan of a stop that begins now and has to end within the grace period.
func NewPlan(now time.Time, gracePeriod time.Duration) Plan {
	answerBy := now.Add(gracePeriod - min(maxAnswerMargin, gracePeriod/answerMarginShare))
	cutMargin := min(maxCutMargin, gracePeriod/cutMarginShare)
	cutBy := now.Add(gracePeriod - cutMargin)
	closeBy := cutBy.Add(time.Duration(closeShare * float64(cutMargin)))
	deregisteredAt := now.Add(deregistrationTime)
	if deregisteredAt.After(answerBy) {
		deregisteredAt = answerBy
	}
	return Plan{BeganAt: now, DeregisteredAt: deregisteredAt, AnswerBy: answerBy, CutBy: cutBy, CloseBy: closeBy}
}

// Phase returns the phase of the stop at a time.
func (p Plan) Phase(now time.Time) Phase {
	switch {
	case now.Before(p.AnswerBy) && !now.After(p.DeregisteredAt):
		return Deregistering
	case now.Before(p.AnswerBy):
		return Draining
	case now.Before(p.CutBy):
		return Finishing
	default:
		return Closing
	}
}

// DrainComplete reports whether the drain can end: its time is over, or nothing runs and the load balancer sends no more
// callers. active is the number of requests that run, and pending that of connections whose caller may wait for an answer.
func (p Plan) DrainComplete(now time.Time, active int64, pending int) bool {
	switch p.Phase(now) {
	case Deregistering:
		return false
	case Draining:
		return active == 0 && pending == 0
	case Finishing, Closing:
		return true
	}
	return true
}
