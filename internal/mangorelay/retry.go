package mangorelay

import (
	"context"
	"time"
)

const (
	// maxSends bounds the upstreams that are tried for one request, those that did not run it included.
	maxSends = 5
	// maxStartedStreamSends is the same for a stream that has begun, which nobody else can take over.
	maxStartedStreamSends = 12
	// noTargetWait is the longest wait for an upstream while none is usable, and emptyStep the time between two looks. A
	// lost replica is replaced in about two seconds, so a longer wait would seldom help.
	noTargetWait = 300 * time.Millisecond
	noTargetPoll = 50 * time.Millisecond
	// resumePause is the pause before a begun stream tries replicas again that had no room for it.
	resumePause = 100 * time.Millisecond
	// resumePauseMax bounds the pauses between tries, which double.
	resumePauseMax = 600 * time.Millisecond
	// silenceToleranceMin is the least time without an event after which callers leave a stream; they wait for patienceTargets
	// times the target or patienceGaps times the longest pause if one of them is longer.
	silenceToleranceMin     = 2 * time.Second
	silenceToleranceTargets = 4
	silenceToleranceGaps    = 8
	// silenceToleranceSlack is the time beyond that for which a begun stream is tried: the caller's clock starts when an event reaches
	// it, and a caller that waits for longer can still get the rest.
	silenceToleranceSlack = 500 * time.Millisecond
	// budgetShareForStreams is the share of the retry budget that is kept for streams that have begun.
	budgetShareForStreams = 0.4
)

const (
	// outcomeNoUpstream is the outcome of requests for which no chain or replica was left.
	outcomeNoUpstream = "NoUpstream"
	// outcomeCrashesUpstreams is the outcome of requests that were aboard several crashes.
	outcomeCrashesUpstreams = "CrashesUpstreams"
	// outcomeBudgetSpent is the outcome of requests for which no retry was left.
	outcomeBudgetSpent = "BudgetSpent"
)

// sendResult says how a try ended.
type sendResult int

const (
	// resultDelivered means that the caller has the final answer.
	resultDelivered sendResult = iota
	// resultUnsent means that no connection was made.
	resultUnsent
	// resultRefused means that the upstream says that it did not run the request.
	resultRefused
	// resultLost means that the request may have run and no whole answer came.
	resultLost
	// resultFailed means that the upstream answered with a failure that is kept for the caller.
	resultFailed
	// resultCallerGone means that the caller has left.
	resultCallerGone
	// resultExpired means that the caller's time or that of the route is over.
	resultExpired
	// resultCut means that the answer broke off after its start and cannot go on.
	resultCut
)

// String returns the name of a result as it appears in logs.
func (r sendResult) String() string {
	return [...]string{"Delivered", "Unsent", "Refused", "Lost", "Failed", "CallerGone", "Expired", "Cut"}[r]
}

// sendUntilDone tries upstreams until the caller has an answer. callerCtx ends when the caller leaves, deadlineCtx also when its time is
// over.
func (c *call) sendUntilDone(callerCtx, deadlineCtx context.Context) bool {
	for {
		t, ok := c.awaitTarget(deadlineCtx)
		if callerCtx.Err() != nil {
			c.outcome = resultCallerGone.String()
			return false
		}
		if !ok {
			return c.finishUndelivered(outcomeNoUpstream, retryAfterNoUpstream)
		}
		if c.sends == 0 && c.shouldShed(t) {
			return c.finishUndelivered("Overloaded", c.shedRetryAfter())
		}
		if reason := c.reasonNotToSend(t); reason != "" {
			if reason == outcomeBudgetSpent && c.pauseForBudget(deadlineCtx) {
				continue
			}
			return c.finishUndelivered(reason, retryAfterNotResent)
		}
		c.sends++
		c.answerStatus, c.refusedByReplica = 0, ""
		result := c.sendOnce(callerCtx, deadlineCtx, t)
		c.logSend(t, result)
		switch result {
		case resultDelivered:
			c.outcome = "Delivered"
			return true
		case resultCallerGone, resultCut:
			c.outcome = result.String()
			return false
		case resultExpired:
			return c.finishUndelivered("Expired", 0)
		case resultLost:
			if !c.route.Repeatable() {
				return c.finishUndelivered("MayHaveRun", 0)
			}
			if c.attemptsExhausted() {
				if !c.started {
					return c.finishUndelivered("TooManyAttempts", 0)
				}
				c.pauseAfterRefusal(deadlineCtx)
			}
		case resultUnsent, resultRefused, resultFailed:
			c.pauseAfterRefusal(deadlineCtx)
		}
	}
}

// pauseAfterRefusal lets a begun stream pause after its second refusal in a row and longer after each further one: the replicas have
// no room, and each try costs one of the retries that all requests share.
func (c *call) pauseAfterRefusal(ctx context.Context) {
	if !c.started {
		return
	}
	if c.refusalsInRow > 0 {
		sleep(ctx, min(resumePause<<(c.refusalsInRow-1), resumePauseMax))
	}
	c.refusalsInRow++
}

// pauseForBudget lets a begun stream pause while the retries of the window are spent and reports whether its caller still waits:
// the loss of one replica breaks many streams at once, and the window slides meanwhile.
func (c *call) pauseForBudget(ctx context.Context) bool {
	if !c.started || ctx.Err() != nil || !time.Now().Before(c.callerGivesUpAt()) {
		return false
	}
	sleep(ctx, resumePause)
	return true
}

// reasonNotToSend returns why another send is not allowed, or nothing.
func (c *call) reasonNotToSend(t target) string {
	switch {
	case c.sends == 0:
		return ""
	case c.sends >= c.sendLimit():
		return "TooManySends"
	case c.attemptsExhausted() && (!c.started || !c.mayHaveRunOn[t.first.ID]):
		return "TooManyAttempts"
	case len(c.mayHaveRunOn) > 0 && c.isCondemnedOrHeld():
		return outcomeCrashesUpstreams
	case c.sendsArrived > 0 && !c.relay.budget.Take(c.serviceName, len(c.view.Members), c.reservedBudgetShare(), time.Now()):
		return outcomeBudgetSpent
	}
	if c.sendsArrived > 0 {
		c.relay.observer.Retry(c.serviceName, "Repeat")
	}
	return ""
}

func (c *call) sendLimit() int {
	if c.started {
		return maxStartedStreamSends
	}
	return maxSends
}

// reservedBudgetShare returns the share of the retry budget that this request must leave. A stream that has begun is lost without a
// retry, while others can come back.
func (c *call) reservedBudgetShare() float64 {
	if c.started {
		return 0
	}
	return budgetShareForStreams
}

// awaitTarget chooses a target; while there is none it waits a moment for one. A stream that has begun waits as long as its
// caller does, since the caller has no other way to its rest.
func (c *call) awaitTarget(ctx context.Context) (target, bool) {
	until, step := time.Now().Add(noTargetWait), noTargetPoll
	if c.started {
		until, step = c.callerGivesUpAt(), resumePause
	}
	for {
		t, ok := c.chooseTarget()
		if ok || !time.Now().Before(until) || ctx.Err() != nil {
			return t, ok
		}
		if !c.started && len(c.failedReplicas)+len(c.refusingReplicas) > 0 {
			// All others have just been tried for this request; waiting would only hold its refusal back.
			return t, false
		}
		sleep(ctx, step)
		// Replicas that were full may have room by now.
		clear(c.refusingReplicas)
	}
}

// callerGivesUpAt is the time until which a begun stream without further events tries to go on.
func (c *call) callerGivesUpAt() time.Time {
	return c.lastEventAt.Add(max(silenceToleranceMin, silenceToleranceTargets*c.route.Target, silenceToleranceGaps*c.route.GapTarget) + silenceToleranceSlack)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
