package mangoentry

import (
	"context"
	"sync/atomic"
	"time"

	"mangopath.org/mangopath/internal/mangorelay"
)

const (
	// deregistrationTime is the time within which the load balancer notices that this daemon is not ready: it makes two checks,
	// a second apart. After it the load balancer sends callers here only if other daemons of the data centre are down, too.
	deregistrationTime = 2300 * time.Millisecond
	// maxExitMargin and exitMarginShare bound the part of the grace period that is left for last answers and the end of the
	// process, in time and as a share of the grace period.
	maxExitMargin   = 1200 * time.Millisecond
	exitMarginShare = 6
)

// lifecycle counts the requests in flight and knows whether the daemon is stopping. It is safe for concurrent use.
type lifecycle struct {
	activeRequests atomic.Int64
	// plan is nil until the daemon is told to stop.
	plan atomic.Pointer[mangorelay.ShutdownPlan]
	// answerContext is ended by endAnswers. It belongs to no call: it is the signal to all that run.
	answerContext context.Context
	endAnswers    context.CancelFunc
}

var _ mangorelay.Shutdown = (*lifecycle)(nil)

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	l.answerContext, l.endAnswers = context.WithCancel(context.Background())
	return l
}

// shutdownPlan returns the times of a stop that begins now and has to end within the grace period.
func shutdownPlan(now time.Time, gracePeriod time.Duration) mangorelay.ShutdownPlan {
	answerBy := now.Add(gracePeriod - min(maxExitMargin, gracePeriod/exitMarginShare))
	deregisteredAt := now.Add(deregistrationTime)
	if deregisteredAt.After(answerBy) {
		deregisteredAt = answerBy
	}
	return mangorelay.ShutdownPlan{BeganAt: now, DeregisteredAt: deregisteredAt, AnswerBy: answerBy}
}

// beginShutdown marks the daemon as stopping.
func (l *lifecycle) beginShutdown(plan mangorelay.ShutdownPlan) { l.plan.Store(&plan) }

// isStopping reports whether the daemon has been told to stop.
func (l *lifecycle) isStopping() bool { return l.plan.Load() != nil }

// Plan implements mangorelay.Shutdown.
func (l *lifecycle) Plan() (mangorelay.ShutdownPlan, bool) {
	if p := l.plan.Load(); p != nil {
		return *p, true
	}
	return mangorelay.ShutdownPlan{}, false
}

// AnswerContext implements mangorelay.Shutdown.
func (l *lifecycle) AnswerContext() context.Context { return l.answerContext }
