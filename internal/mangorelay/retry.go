package mangorelay

import (
	"context"
	"time"
)

const (
	// maxSends bounds the sends of one request, those that no upstream ran included.
	maxSends = 5
	// maxStartedStreamSends is the same for a started stream. It is higher because the caller cannot get the rest in any
	// other way.
	maxStartedStreamSends = 12
	// noTargetWait bounds the wait for a target while none is usable, and noTargetPoll is the time between two choices. A
	// lost replica is replaced in about two seconds, so a longer wait would seldom help.
	noTargetWait = 300 * time.Millisecond
	noTargetPoll = 50 * time.Millisecond
	// resumePause is the first pause of a started stream before it tries again replicas that had no capacity or waits for
	// retry budget.
	resumePause = 100 * time.Millisecond
	// resumePauseMax bounds this pause, which doubles with each refusal in a row.
	resumePauseMax = 600 * time.Millisecond
	// silenceToleranceMin is the least time without an event after which callers leave a stream. They wait for
	// silenceToleranceTargets times the route's target or silenceToleranceGaps times its gap target if one of them is
	// longer.
	silenceToleranceMin     = 2 * time.Second
	silenceToleranceTargets = 4
	silenceToleranceGaps    = 8
	// silenceToleranceSlack is how much longer a started stream is tried: the caller's clock starts when an event reaches
	// it, and a caller that waits longer can still get the rest.
	silenceToleranceSlack = 500 * time.Millisecond
	// budgetShareForStreams is the share of the retry budget that is reserved for started streams.
	budgetShareForStreams = 0.4
	// budgetShareByRank is the further share that the least urgent of several ranks must leave to more urgent ones.
	budgetShareByRank = 0.3
)

const (
	// outcomeNoConfiguration is the outcome of requests to a daemon that has no configuration yet, outcomeNoRoute that of requests
	// to an unknown host or path, and outcomeUnknownKey that of requests without the key of a customer.
	outcomeNoConfiguration = "NoConfiguration"
	outcomeNoRoute         = "NoRoute"
	outcomeUnknownKey      = "UnknownKey"
	// outcomeNoUpstream is the outcome of requests for which no chain or replica was left.
	outcomeNoUpstream = "NoUpstream"
	// outcomeOverloaded is the outcome of streams that were turned away before they were sent, for want of room.
	outcomeOverloaded = "Overloaded"
	// outcomeRateLimited is the outcome of requests that could only have gone to replicas whose limits other requests use up.
	outcomeRateLimited = "RateLimited"
	// outcomeCrashesUpstreams is the outcome of requests that crash upstreams or were in flight on several crashed ones.
	outcomeCrashesUpstreams = "CrashesUpstreams"
	// outcomeStopping is the outcome of requests that the daemon could not answer before the end of its stop.
	outcomeStopping = "Stopping"
	// outcomeBudgetSpent is the outcome of requests for which no retry budget was left.
	outcomeBudgetSpent = "BudgetSpent"
)

// sendResult says how a send ended.
type sendResult int

const (
	// resultDelivered means that the caller has the final answer.
	resultDelivered sendResult = iota
	// resultUnsent means that no connection was made.
	resultUnsent
	// resultRefused means that the upstream said that it did not run the request.
	resultRefused
	// resultLost means that the request may have run and no whole answer came.
	resultLost
	// resultFailed means that the upstream answered with a status of 500 or above, which is kept for the caller.
	resultFailed
	// resultCallerGone means that the caller has left.
	resultCallerGone
	// resultExpired means that the deadline of the caller or the route has passed.
	resultExpired
	// resultCut means that the answer broke off after its start and cannot be resumed.
	resultCut
)

// String returns the name of a result as it appears in logs.
func (r sendResult) String() string {
	return [...]string{"Delivered", "Unsent", "Refused", "Lost", "Failed", "CallerGone", "Expired", "Cut"}[r]
}

// sendUntilDone sends the request to one target after the other until the caller has its final answer, and returns false
// if that answer is incomplete. callerCtx ends when the caller leaves, deadlineCtx also when the deadline passes.
func (c *call) sendUntilDone(callerCtx, deadlineCtx context.Context) bool {
	defer c.endTurn()
	if retryAfter, refused := c.refuseForShortage(); refused {
		return c.finishUndelivered(outcomeOverloaded, retryAfter)
	}
	for {
		t, ok := c.awaitTarget(deadlineCtx)
		if callerCtx.Err() != nil {
			c.outcome = resultCallerGone.String()
			return false
		}
		if !ok {
			if c.overLimit {
				return c.finishUndelivered(outcomeRateLimited, c.retryAfterOverLimit())
			}
			return c.finishUndelivered(outcomeNoUpstream, c.retryAfterNoTarget())
		}
		if c.sends == 0 && c.shouldShed(t) && !c.judged {
			return c.finishUndelivered(outcomeOverloaded, c.shedLocally(t))
		}
		if !c.takeTurn(deadlineCtx, t) {
			continue
		}
		if reason := c.reasonNotToSend(t); reason != "" {
			c.endTurn()
			if reason == outcomeBudgetSpent && c.pauseForBudget(deadlineCtx) {
				continue
			}
			return c.finishUndelivered(reason, retryAfterNotResent)
		}
		c.logRestart(t)
		c.sends++
		c.answerStatus, c.refusedByReplica = 0, ""
		result := c.sendOnce(callerCtx, deadlineCtx, t)
		c.endTurn()
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
			c.awaitClearance(deadlineCtx)
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

// pauseAfterRefusal makes a started stream pause from its second refusal in a row on, longer each time: the replicas have
// no capacity, and each send uses up retry budget that all requests share.
func (c *call) pauseAfterRefusal(ctx context.Context) {
	if !c.started {
		return
	}
	if c.refusalsInRow > 0 {
		sleep(ctx, min(resumePause<<(c.refusalsInRow-1), resumePauseMax))
	}
	c.refusalsInRow++
}

// pauseForBudget makes a stream pause while the retry budget is spent, and reports whether its caller still waits. The loss of
// one replica breaks many streams at once, and budget comes free as its window slides. A request without an event leaves the
// reserved share of the budget to started streams; it waits, as its failure would cost the caller more than a late answer.
func (c *call) pauseForBudget(ctx context.Context) bool {
	until := c.callerGivesUpAt()
	if !c.started {
		until = c.restartUntil()
	}
	if ctx.Err() != nil || !time.Now().Before(until) {
		return false
	}
	sleep(ctx, resumePause)
	return true
}

// reasonNotToSend returns the outcome of a request that may not be sent again, or "" if it may. It takes one retry from
// the budget if an earlier send has reached an upstream.
func (c *call) reasonNotToSend(t target) string {
	switch {
	case c.sends == 0:
		return ""
	case c.sends >= c.sendLimit():
		return "TooManySends"
	case c.attemptsExhausted() && (!c.started || !c.mayHaveRunOn[t.first.ID]):
		return "TooManyAttempts"
	case len(c.mayHaveRunOn) > 0 && c.isRefusedAsCrashing():
		return outcomeCrashesUpstreams
	case c.sendsArrived > 0 && !c.takeRetry(time.Now()):
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

// reservedBudgetShare returns the share of the retry budget that this request must leave for others. A started stream is
// lost without a retry, while other callers can repeat their requests.
func (c *call) reservedBudgetShare() float64 {
	if c.started {
		return 0
	}
	return budgetShareForStreams + budgetShareByRank*c.rankPosition()
}

// awaitTarget chooses a target; while there is none it waits for one. A started stream waits as long as its caller does,
// since the caller cannot get the rest in any other way.
func (c *call) awaitTarget(ctx context.Context) (target, bool) {
	until, step := time.Now().Add(noTargetWait), noTargetPoll
	if c.started {
		until, step = c.callerGivesUpAt(), resumePause
	}
	c.drawLimits()
	for {
		t, ok := c.chooseTarget()
		if c.overLimit = !ok && !c.started && c.hasTargetOverLimit(); c.overLimit {
			return t, false
		}
		if ok || !time.Now().Before(until) || ctx.Err() != nil {
			return t, ok
		}
		if !c.started && (len(c.failedReplicas)+len(c.refusingReplicas) > 0 || c.pauseLeft(time.Now()) > noTargetWait) {
			// All usable replicas have just been tried for this request, or want no requests for longer than it would wait;
			// waiting would only delay its refusal.
			return t, false
		}
		// Others do not wait behind a restart that has no target.
		c.endTurn()
		sleep(ctx, step)
		// Replicas that refused the request may have capacity by now.
		clear(c.refusingReplicas)
		if c.started {
			c.drawLimits()
		}
	}
}

// callerGivesUpAt returns the time until which a started stream without further events tries to resume.
func (c *call) callerGivesUpAt() time.Time { return c.lastEventAt.Add(c.silenceTolerance()) }

// silenceTolerance returns the time without events after which the caller of a stream has left.
func (c *call) silenceTolerance() time.Duration {
	return max(silenceToleranceMin, silenceToleranceTargets*c.route.LatencyTarget, silenceToleranceGaps*c.route.GapTarget) + silenceToleranceSlack
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
