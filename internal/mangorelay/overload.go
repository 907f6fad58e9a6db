package mangorelay

import (
	"time"

	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// shedFrom and shedAll are the waits for a first event, in units of the route's target, from which some and from which
	// all new requests are turned away. A request that waits longer is late, and makes all behind it late as well.
	shedFrom = 1.0
	shedAll  = 2.0
	// returnFrom and returnAll are the same for callers that have waited before. They are late already, but leave if they
	// wait for four times the target.
	returnFrom = 2.0
	returnAll  = 3.2
	// returned is the share of the route's timeout below which the time that a caller has left shows that it came before.
	returned = 0.95
	// comeBackLeast and comeBackSpread are the time after which a caller that was turned away is to come back, and the
	// random part of it, which spreads the callers of a burst.
	comeBackLeast  = time.Second
	comeBackSpread = 2 * time.Second
)

// overloaded reports whether a request is turned away because its first event would come too late. The share of requests
// that are turned away grows with the wait, so that daemons that see the same queue do not all stop and start at once.
func (c *call) overloaded(t target) bool {
	if c.route.Kind != mangoroute.Stream || len(t.parts) == 0 || c.route.LatencyTarget <= 0 {
		return false
	}
	from, all := shedFrom, shedAll
	if c.request.CallerTimeout > 0 && c.route.Timeout > 0 && float64(c.request.CallerTimeout) < returned*float64(c.route.Timeout) {
		from, all = returnFrom, returnAll
	}
	wait := float64(c.relay.delays.Estimate(c.serviceName, t.dataCentre, time.Now())) / float64(c.route.LatencyTarget)
	if wait >= slowFirst {
		c.relay.pacer.Suspect(c.serviceName, t.dataCentre)
	}
	return wait > from+c.relay.random()*(all-from)
}

// comeBack returns the time after which a caller that was turned away is to come back.
func (c *call) comeBack() time.Duration {
	return comeBackLeast + time.Duration(c.relay.random()*float64(comeBackSpread))
}

// measure notes the wait of a send for its first event until the returned function is called.
func (c *call) measure(t target, now time.Time) func() {
	c.delay = nil
	if c.started || c.route.Kind != mangoroute.Stream || len(t.parts) == 0 {
		return func() {}
	}
	c.delay = c.relay.delays.Begin(c.serviceName, t.dataCentre, now)
	return c.delay.End
}
