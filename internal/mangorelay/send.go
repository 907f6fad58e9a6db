package mangorelay

import (
	"context"
	"time"
)

const (
	// maxSends bounds the upstreams that are tried for one request, those that did not run it included.
	maxSends = 5
	// maxStreamSends is the same for a stream that has begun, which nobody else can take over.
	maxStreamSends = 12
	// emptyWait is the longest wait for an upstream while none is usable, and emptyStep the time between two looks. A
	// lost replica is replaced in about two seconds, so a longer wait would seldom help.
	emptyWait = 300 * time.Millisecond
	emptyStep = 50 * time.Millisecond
	// resumeStep is the pause before a begun stream tries replicas again that had no room for it.
	resumeStep = 100 * time.Millisecond
	// resumeStepMax bounds the pauses between tries, which double.
	resumeStepMax = 600 * time.Millisecond
	// callerPatience is the least time without an event after which callers leave a stream; they wait for patienceTargets
	// times the target or patienceGaps times the longest pause if one of them is longer.
	callerPatience  = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	// patienceSlack is the time beyond that for which a begun stream is tried: the caller's clock starts when an event reaches
	// it, and a caller that waits for longer can still get the rest.
	patienceSlack = 500 * time.Millisecond
	// keepForStreams is the share of the retry budget that is kept for streams that have begun.
	keepForStreams = 0.4
)

const (
	// noUpstream is the outcome of requests for which no chain or replica was left.
	noUpstream = "NoUpstream"
	// crashesUpstreams is the outcome of requests that were aboard several crashes.
	crashesUpstreams = "CrashesUpstreams"
	// budgetSpent is the outcome of requests for which no retry was left.
	budgetSpent = "BudgetSpent"
)

// result says how a try ended.
type result int

const (
	// delivered means that the caller has the final answer.
	delivered result = iota
	// unsent means that no connection was made.
	unsent
	// refused means that the upstream says that it did not run the request.
	refused
	// lost means that the request may have run and no whole answer came.
	lost
	// failed means that the upstream answered with a failure that is kept for the caller.
	failed
	// gone means that the caller has left.
	gone
	// expired means that the caller's time or that of the route is over.
	expired
	// cut means that the answer broke off after its start and cannot go on.
	cut
)

// String returns the name of a result as it appears in logs.
func (r result) String() string {
	return [...]string{"Delivered", "Unsent", "Refused", "Lost", "Failed", "CallerGone", "Expired", "Cut"}[r]
}

// run tries upstreams until the caller has an answer. outer ends when the caller leaves, inner also when its time is
// over.
func (c *call) run(outer, inner context.Context) bool {
	for {
		t, ok := c.await(inner)
		if outer.Err() != nil {
			c.outcome = gone.String()
			return false
		}
		if !ok {
			return c.conclude(noUpstream, retryEmpty)
		}
		if c.sends == 0 && c.overloaded(t) {
			return c.conclude("Overloaded", c.comeBack())
		}
		if reason := c.mayNotSend(t); reason != "" {
			if reason == budgetSpent && c.outlasts(inner) {
				continue
			}
			return c.conclude(reason, retryFull)
		}
		c.sends++
		c.answered, c.fault = 0, ""
		result := c.try(outer, inner, t)
		c.logSend(t, result)
		switch result {
		case delivered:
			c.outcome = "Delivered"
			return true
		case gone, cut:
			c.outcome = result.String()
			return false
		case expired:
			return c.conclude("Expired", 0)
		case lost:
			if !c.route.Repeatable() {
				return c.conclude("MayHaveRun", 0)
			}
			if c.exhausted() {
				if !c.started {
					return c.conclude("TooManyAttempts", 0)
				}
				c.backOff(inner)
			}
		case unsent, refused, failed:
			c.backOff(inner)
		}
	}
}

// backOff lets a begun stream pause after its second refusal in a row and longer after each further one: the replicas have
// no room, and each try costs one of the retries that all requests share.
func (c *call) backOff(ctx context.Context) {
	if !c.started {
		return
	}
	if c.refusals > 0 {
		sleep(ctx, min(resumeStep<<(c.refusals-1), resumeStepMax))
	}
	c.refusals++
}

// outlasts lets a begun stream pause while the retries of the window are spent and reports whether its caller still waits:
// the loss of one replica breaks many streams at once, and the window slides meanwhile.
func (c *call) outlasts(ctx context.Context) bool {
	if !c.started || ctx.Err() != nil || !time.Now().Before(c.patienceEnd()) {
		return false
	}
	sleep(ctx, resumeStep)
	return true
}

// mayNotSend returns why another send is not allowed, or nothing.
func (c *call) mayNotSend(t target) string {
	switch {
	case c.sends == 0:
		return ""
	case c.sends >= c.maxSends():
		return "TooManySends"
	case c.exhausted() && (!c.started || !c.ranOn[t.first.ID]):
		return "TooManyAttempts"
	case len(c.ranOn) > 0 && c.crashes():
		return crashesUpstreams
	case c.arrivals > 0 && !c.relay.budget.Take(c.serviceName, len(c.view.Members), c.keep(), time.Now()):
		return budgetSpent
	}
	if c.arrivals > 0 {
		c.relay.observer.Retry(c.serviceName, "Repeat")
	}
	return ""
}

func (c *call) maxSends() int {
	if c.started {
		return maxStreamSends
	}
	return maxSends
}

// keep returns the share of the retry budget that this request must leave. A stream that has begun is lost without a
// retry, while others can come back.
func (c *call) keep() float64 {
	if c.started {
		return 0
	}
	return keepForStreams
}

// await chooses a target; while there is none it waits a moment for one. A stream that has begun waits as long as its
// caller does, since the caller has no other way to its rest.
func (c *call) await(ctx context.Context) (target, bool) {
	until, step := time.Now().Add(emptyWait), emptyStep
	if c.started {
		until, step = c.patienceEnd(), resumeStep
	}
	for {
		t, ok := c.choose()
		if ok || !time.Now().Before(until) || ctx.Err() != nil {
			return t, ok
		}
		if !c.started && len(c.exclude)+len(c.full) > 0 {
			// All others have just been tried for this request; waiting would only hold its refusal back.
			return t, false
		}
		sleep(ctx, step)
		// Replicas that were full may have room by now.
		clear(c.full)
	}
}

// patienceEnd is the time until which a begun stream without further events tries to go on.
func (c *call) patienceEnd() time.Time {
	return c.lastEvent.Add(max(callerPatience, patienceTargets*c.route.LatencyTarget, patienceGaps*c.route.GapTarget) + patienceSlack)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
