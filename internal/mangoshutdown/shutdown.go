package mangoshutdown

import (
	"context"
	"sync/atomic"
)

// Shutdown counts the requests in flight and knows whether the daemon is stopping. It is safe for concurrent use.
type Shutdown struct {
	active atomic.Int64
	// plan is nil until the daemon is told to stop.
	plan atomic.Pointer[Plan]
	// answerContext is ended by EndAnswers and cutContext by Cut. They belong to no call: they are signals to all that run.
	answerContext, cutContext context.Context
	endAnswers, cut           context.CancelFunc
}

// New returns the Shutdown of a daemon that is not stopping.
func New() *Shutdown {
	s := &Shutdown{}
	s.answerContext, s.endAnswers = context.WithCancel(context.Background())
	s.cutContext, s.cut = context.WithCancel(context.Background())
	return s
}

// Begin marks the daemon as stopping.
func (s *Shutdown) Begin(plan Plan) { s.plan.Store(&plan) }

// Plan returns the plan of the stop; stopping is false while the daemon runs normally.
func (s *Shutdown) Plan() (plan Plan, stopping bool) {
	if p := s.plan.Load(); p != nil {
		return *p, true
	}
	return Plan{}, false
}

// IsStopping reports whether the daemon has been told to stop.
func (s *Shutdown) IsStopping() bool { return s.plan.Load() != nil }

// BeginRequest counts a request as in flight until the returned function is called.
func (s *Shutdown) BeginRequest() (end func()) {
	s.active.Add(1)
	return func() { s.active.Add(-1) }
}

// Active returns the number of requests in flight.
func (s *Shutdown) Active() int64 { return s.active.Load() }

// AnswerContext ends when the requests whose answer has not begun have to get their final answer.
func (s *Shutdown) AnswerContext() context.Context { return s.answerContext }

// CutContext ends when answers that have begun are cut off.
func (s *Shutdown) CutContext() context.Context { return s.cutContext }

// EndAnswers ends the context of AnswerContext.
func (s *Shutdown) EndAnswers() { s.endAnswers() }

// Cut ends the context of CutContext, and that of AnswerContext.
func (s *Shutdown) Cut() {
	s.endAnswers()
	s.cut()
}
