package mangorelay

import (
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// inFlightTracking counts one send on the replicas of its target: in their load, and as a request that is woken when one of
// them is lost and suspected when one of them crashes. It belongs to the goroutine of the send.
type inFlightTracking struct {
	call     *call
	request  *inFlightRequest
	replicas []mangoreplica.Incarnation
	// release takes the request out of the load of the replicas, and remove out of the index.
	release, remove func()
}

// trackInFlight counts the request as in flight on the replicas of a target until the end of the tracking. Meanwhile wake is
// called when one of these replicas is found lost.
func (c *call) trackInFlight(t target, wake func()) *inFlightTracking {
	c.inFlight = &inFlightRequest{identity: c.suspectIdentity(), begunBefore: c.begunSafely, first: t.first.Incarnation(), sentAt: c.sendStartedAt, wake: wake}
	f := &inFlightTracking{call: c, request: c.inFlight, replicas: t.incarnations(), release: c.beginLoad(t)}
	f.remove = c.relay.inFlight.add(f.request, f.replicas)
	return f
}

// beginLoad adds the request to the load of the replicas of a target until the returned function is called.
func (c *call) beginLoad(t target) func() {
	if len(t.stages) == 0 {
		return c.relay.health.BeginRequest(0, t.replicaIDs...)
	}
	shares := make(map[string]float64, len(t.stages))
	for _, s := range t.stages {
		shares[s.Replica.ID] = s.Share()
	}
	return c.relay.health.BeginShares(c.estimateTokens(), t.first.ID, shares)
}

// move counts the request on the replicas of its changed path, and no longer on those that it left.
func (f *inFlightTracking) move(t target) {
	release, replicas := f.call.beginLoad(t), t.incarnations()
	f.release()
	f.remove = f.call.relay.inFlight.move(f.request, f.replicas, replicas, time.Now())
	f.release, f.replicas = release, replicas
}

// end takes the request out of all counts.
func (f *inFlightTracking) end() {
	f.release()
	f.remove()
}
