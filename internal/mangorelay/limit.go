package mangorelay

import (
	"time"

	"mangopath.org/mangopath/internal/mangolimit"
)

const (
	// overLimitRetryAfter is the Retry-After of a request that found all limits used up, when the demand equals the limits. It
	// grows with the demand.
	overLimitRetryAfter = time.Second
	// maxOverLimitRetryAfter bounds it.
	maxOverLimitRetryAfter = 6 * time.Second
)

// drawLimits draws the replicas with a limit that the next send may go to.
func (c *call) drawLimits() { c.draw = c.relay.limiter.Draw(c.serviceName, time.Now()) }

// hasTargetOverLimit reports whether there would be a target if no replica had a limit.
func (c *call) hasTargetOverLimit() bool {
	if !c.draw.Denies() {
		return false
	}
	drawn := c.draw
	c.draw = mangolimit.Draw{}
	_, ok := c.chooseTarget()
	c.draw = drawn
	return ok
}

// retryAfterOverLimit returns when a caller is to come back whose request could only have gone beyond a limit: the more requests
// there are for the limits, the later.
func (c *call) retryAfterOverLimit() time.Duration {
	wait := time.Duration(c.draw.Excess() * float64(overLimitRetryAfter))
	return min(wait+time.Duration(c.relay.random()*float64(wait)), maxOverLimitRetryAfter)
}
