package mangorelay

import (
	"time"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// keptSilenceWaits is the least silence after which a kept connection is given up, in units of the estimated wait for a
	// first event: a request that waits in a queue of the replica must not lose its place there.
	keptSilenceWaits = 3
	// plainKeptShare is the share of the time that a plain request waits before another replica is tried, after which its kept
	// connection is given up, so that this comes first.
	plainKeptShare = 0.8
	// maxKeptCheckWait bounds the wait for the check of the replica, which starts within checkInterval.
	maxKeptCheckWait = checkInterval + connectCheckTimeout
)

// keptLimiter is a silenceLimiter that also ends the wait for the head of an answer on a kept connection: such a connection may be
// silent for good although its replica is well. All methods are called by the goroutine of the call.
type keptLimiter struct {
	*silenceLimiter
	// awaitsHead says that the head of an answer is awaited on a kept connection.
	awaitsHead bool
	// check is closed when the check of the replica has ended; nil before it is asked for.
	check <-chan struct{}
	// gaveUp says that the kept connection was silent although its replica accepts connections.
	gaveUp bool
}

// newKeptLimiter returns the limiter of a send, and the waiter that asks it.
func newKeptLimiter(l *silenceLimiter) (*keptLimiter, *mangoconn.ReadWaiter) {
	k := &keptLimiter{silenceLimiter: l}
	return k, mangoconn.NewReadWaiter(k.remainingWait)
}

// remainingWait implements mangoconn.WaitPolicy.
func (k *keptLimiter) remainingWait(silent time.Duration) time.Duration {
	left := k.silenceLimiter.remainingWait(silent)
	if !k.awaitsHead || k.pathOrdered() {
		return left
	}
	limit := k.keptSilence()
	if silent < limit {
		return min(left, limit-silent)
	}
	if k.targetLost() || k.call.withdrawn() {
		return left
	}
	if k.check == nil {
		k.check = k.call.relay.checkConnection(k.target.first, k.call.request.ID)
	}
	select {
	case <-k.check:
		k.gaveUp = true
		return 0
	default:
	}
	if silent >= limit+maxKeptCheckWait {
		return left
	}
	return silencePoll
}

// keptSilence returns the silence after which a kept connection is given up if its replica accepts connections.
func (k *keptLimiter) keptSilence() time.Duration {
	c := k.call
	if len(k.target.stages) == 0 {
		return time.Duration(plainKeptShare * float64(max(plainHardMin, plainHardTargets*c.route.LatencyTarget)))
	}
	queue := keptSilenceWaits * c.relay.delays.Estimate(c.serviceName, k.target.dataCentre, time.Now())
	// Streams on silent connections raise the estimate themselves, so it is bounded.
	return min(max(firstEventSoft, queue), firstEventHard)
}

// pathOrdered reports whether the path of the request has been changed since it was sent, or an order to change it has no result
// yet. If it was changed, the replica has the request; an order without a result could apply to a second send as well.
func (k *keptLimiter) pathOrdered() bool {
	return k.call.unansweredFirst != "" || (k.repair != nil && (k.repair.running || k.repair.changed > 0))
}

// targetLost reports whether a replica of the target is known to be lost, so that its silence is not that of the connection.
func (k *keptLimiter) targetLost() bool {
	outages := k.call.relay.health.Outages(time.Now())
	for _, r := range k.target.incarnations() {
		if o, ok := outages[r]; ok && (o.Cause.LikelyDown() || o.Cause == mangoreplica.CauseMoved) {
			return true
		}
	}
	return len(k.target.stages) > 0 && k.anyPartMoved()
}
