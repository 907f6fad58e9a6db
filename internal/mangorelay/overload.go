package mangorelay

import (
	"time"

	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// shedSomeFrom and shedAllFrom are the estimated waits for a first event, in units of the route's target, from which
	// some and from which all new requests are refused. A request that waits longer is late, and makes all behind it late
	// as well.
	shedSomeFrom = 1.0
	shedAllFrom  = 2.0
	// shedSomeReturningFrom and shedAllReturningFrom are the same for callers that were refused before. They are late
	// already, but leave if they wait for four times the target.
	shedSomeReturningFrom = 2.0
	shedAllReturningFrom  = 3.2
	// shedRetryAfterMin and shedRetryAfterSpread are the fixed and the random part of the Retry-After value of such
	// refusals; the random part spreads the callers of a burst.
	shedRetryAfterMin    = time.Second
	shedRetryAfterSpread = 2 * time.Second
)

// shouldShed reports whether a request is refused because its first event would come too late. The share of requests that
// are refused grows with the wait, so that daemons that see the same queue do not all stop and start at once.
func (c *call) shouldShed(t target) bool {
	if !c.hasWaitLimit(t) {
		return false
	}
	wait, from, all := c.waitLimits(t)
	if wait >= slowFirstEventShare {
		c.relay.slowReplicas.ReportSlow(c.serviceName, t.dataCentre)
	}
	return wait > from+c.relay.random()*(all-from)
}

// hasWaitLimit reports whether a request can be refused because of the wait at its target.
func (c *call) hasWaitLimit(t target) bool {
	return c.route.Kind == mangoroute.Stream && len(t.stages) > 0 && c.route.LatencyTarget > 0
}

// waitLimits returns the estimated wait for a first event at a target, and the waits from which some and from which all requests
// are refused, in units of the route's target.
func (c *call) waitLimits(t target) (wait, from, all float64) {
	from, all = shedSomeFrom, shedAllFrom
	if c.isReturning() {
		from, all = shedSomeReturningFrom, shedAllReturningFrom
	}
	factor := c.localWaitFactor()
	wait = float64(c.relay.delays.Estimate(c.serviceName, t.dataCentre, time.Now())) / float64(c.route.LatencyTarget)
	return wait, from * factor, all * factor
}

// shedRetryAfter returns the time after which a refused caller is to try again.
func (c *call) shedRetryAfter() time.Duration {
	return shedRetryAfterMin + time.Duration(c.relay.random()*float64(shedRetryAfterSpread))
}

// trackFirstEventWait measures how long a send waits for its first event, until that event or until the returned function
// is called.
func (c *call) trackFirstEventWait(t target, now time.Time) func() {
	c.firstEventWait, c.progress = nil, nil
	if c.started || c.route.Kind != mangoroute.Stream || len(t.stages) == 0 {
		return func() {}
	}
	c.firstEventWait = c.relay.delays.Begin(c.serviceName, t.dataCentre, now)
	wait := c.firstEventWait
	if !c.hasRanks() {
		return wait.End
	}
	progress := c.relay.demand.Begin(c.serviceName, t.dataCentre, c.work(), now)
	c.progress = progress
	return func() {
		wait.End()
		progress.End(time.Now())
	}
}
