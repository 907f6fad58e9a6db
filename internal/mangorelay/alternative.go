package mangorelay

import (
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// alternativeInterval is the time for which the result of the search for another target of a silent request is cached, since each
// read asks for the limits of silence.
const alternativeInterval = 50 * time.Millisecond

// hasAlternative reports whether the request can be sent to another target, and if so takes a retry from the budget at once: when
// many requests wait for budget, each retry that becomes available is for one of them. The result may be alternativeInterval old.
func (l *silenceLimiter) hasAlternative(now time.Time) bool {
	if l.alternativeAt.IsZero() || now.Sub(l.alternativeAt) >= alternativeInterval {
		l.alternativeAt, l.alternative = now, l.call.canSendElsewhere(l.target, now) && l.call.takeRetryAhead(now)
	}
	return l.alternative
}

// untilNextCheck returns how long a send to a plain service waits before the limits of its silence are asked again. Beyond the
// soft limit it searches for an alternative every alternativeInterval.
func (l *silenceLimiter) untilNextCheck(soft, hard, silent time.Duration) time.Duration {
	if l.alternativeAt.IsZero() || silent < soft {
		return hard - silent
	}
	return min(alternativeInterval, hard-silent)
}

// canSendElsewhere reports whether the request, given up on its present target, would be sent to another one: it has attempts and
// retry budget left, and there is a usable target other than this one. It takes nothing from the budget.
func (c *call) canSendElsewhere(t target, now time.Time) bool {
	if !c.route.Repeatable() || c.sends >= c.sendLimit() {
		return false
	}
	if !c.hasRetry && !c.relay.budget.Available(c.serviceName, c.relay.health.Daemons(), c.reservedBudgetShare(), now) {
		return false
	}
	next, ok := c.targetAfter(t)
	return ok && !slices.Equal(next.replicaIDs, t.replicaIDs) && !slices.ContainsFunc(next.incarnations(), func(r mangoreplica.Incarnation) bool {
		return c.relay.health.Avoided(r, now)
	})
}

// takeRetryAhead takes a retry for the next send while the present one still runs. It reports whether the next send has one.
func (c *call) takeRetryAhead(now time.Time) bool {
	if !c.hasRetry {
		c.hasRetry = c.takeRetry(now)
	}
	return c.hasRetry
}

// takeRetry takes a retry from the budget, unless one has been taken ahead.
func (c *call) takeRetry(now time.Time) bool {
	if c.hasRetry {
		c.hasRetry = false
		return true
	}
	return c.relay.budget.Take(c.serviceName, c.relay.health.Daemons(), c.reservedBudgetShare(), now)
}

// targetAfter returns the target that would be chosen if the send to t were given up. The random draw by which rate limits exclude
// replicas is ignored, since each send draws anew.
func (c *call) targetAfter(t target) (target, bool) {
	drawn := c.draw
	c.draw = mangolimit.Draw{}
	defer func() { c.draw = drawn }()
	if !c.mayHaveRunOn[t.first.ID] {
		c.mayHaveRunOn[t.first.ID] = true
		defer delete(c.mayHaveRunOn, t.first.ID)
	}
	return c.chooseTarget()
}

// longestSilence returns the silence after which a send is given up although the request cannot be sent elsewhere. The caller of
// a stream has left by then; other requests have their deadline.
func (c *call) longestSilence(t target) time.Duration {
	if len(t.stages) == 0 && c.route.Kind != mangoroute.Stream {
		return noLimit
	}
	return c.silenceTolerance()
}
