package mangorelay

import (
	"strconv"
	"time"

	"mangopath.org/mangopath/internal/mangocapacity"
)

// returningTimeoutShare is the share of the route's timeout below which a caller's timeout shows that it was refused before and has
// used up a part of its time. It applies where refusals are not recorded: to services with one rank and to streams that a caller resumes.
const returningTimeoutShare = 0.95

// isReturning reports whether the caller was refused before: by recorded refusals for streams of services with several ranks, otherwise by
// the time left.
func (c *call) isReturning() bool {
	if c.returning || c.isStreamOfRanks() {
		return c.returning
	}
	return c.request.CallerTimeout > 0 && c.route.Timeout > 0 && float64(c.request.CallerTimeout) < returningTimeoutShare*float64(c.route.Timeout)
}

// setReturning sets returning of a stream of a service with several ranks.
func (c *call) setReturning(now time.Time) {
	if c.isStreamOfRanks() {
		c.returning = c.relay.demand.IsReturning(c.refusalKey(), now)
	}
}

// recordRefusal records that the caller of a stream of a service with several ranks was told to come back after a time, so that all
// daemons recognise it and expect its demand. Requests that crash replicas are left out, since returning callers are admitted first.
func (c *call) recordRefusal(reason string, retryAfter time.Duration, now time.Time) {
	if c.service == nil || !c.isStreamOfRanks() || reason == outcomeCrashesUpstreams {
		return
	}
	c.relay.demand.RecordRefusal(c.refusalKey(), now.Add(retryAfter), now)
	c.relay.demand.ExpectReturn(c.serviceName, c.relay.localDataCentre, c.class(), c.work(), retryAfter, now)
}

// refusalKey returns the lower half of the fingerprint of the request.
func (c *call) refusalKey() mangocapacity.RefusalKey {
	// The fingerprint is a 64-bit hash in hexadecimal, so it has no syntax error.
	hash, _ := strconv.ParseUint(c.identity.Fingerprint, 16, 64)
	return mangocapacity.RefusalKey(uint32(hash))
}
