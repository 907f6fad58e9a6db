package mangorelay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// queryTimeout bounds a request to a replica for its stalled requests or its health.
	queryTimeout = 250 * time.Millisecond
	// connectCheckTimeout bounds a connection that only shows that a replica is alive; the round trip within a data
	// centre is well below a millisecond.
	connectCheckTimeout = 100 * time.Millisecond
	// maxCheckWait bounds the wait of a request for the check of the replica that it was lost on. A connection to an ended
	// process is refused within a millisecond.
	maxCheckWait = 50 * time.Millisecond
	// otherChecksWait is how long the check of a replica waits for the checks of the other replicas of its chain to end.
	otherChecksWait = 50 * time.Millisecond
	// checkInterval is the least time between two checks of one replica; a replica's report is about 200 ms old.
	checkInterval = 150 * time.Millisecond
	// requestInterval is the least time between two requests to hubs for one replica. It is longer than the interval in which hubs
	// share a check, as the chains of a data centre fall silent up to a gap apart: with 150 ms and a soft limit of 45 ms, a silence
	// of 200 ms had each sound replica checked twice in TestFleetFindsSilentReplica.
	requestInterval = 180 * time.Millisecond
	// healthCheckInterval is the least time between two health requests to one replica.
	healthCheckInterval = time.Second
	// holdLeaving is how long a replica that says that it is leaving is avoided; afterwards it is asked again when it
	// refuses another request.
	holdLeaving = 3 * time.Second
)

// checkStalls asks the first replica of a silent chain in the background which replicas its stalled requests wait for,
// and avoids these.
func (r *Relay) checkStalls(first *mangoreplica.Replica, requestID string) {
	r.enqueueCheck(func(ctx context.Context) {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		stalls, err := r.prober.Stalled(queryCtx, first)
		r.chainChecks.countReport(err, len(stalls))
		if err != nil {
			r.logger.WithField("replica", first.ID).WithField("request", requestID).WithError(err).Warn("failed to read the stalled requests of a replica")
			r.connectOrAvoid(ctx, first, requestID, nil, whySilent)
			return
		}
		fleet := r.state.View().Fleet
		for _, s := range stalls {
			// A replica that gave up layers is not lost; the requests that wait for it end by their own silence limits.
			if lost := fleet.ByAddress(s.ReplicaAddress); lost != nil && !lost.ReleasingLayers {
				r.avoid(lost, mangoreplica.CauseStalled, holdStalled, s.RequestID)
				r.reportCrash(lost, withoutParts(r.crashCandidates(lost)))
			}
		}
	})
}

// checkConnection checks in the background whether a replica still accepts connections, for example after one broke; if
// not, one of the requests in flight on it may have crashed it. The channel is closed when the check has ended. If the replica
// was checked a moment ago, the next check waits until another one is allowed.
func (r *Relay) checkConnection(replica *mangoreplica.Replica, requestID string) <-chan struct{} {
	end, delay, isNew := r.connectionChecks.reserve(replica.Incarnation(), time.Now())
	if !isNew {
		return end
	}
	why := whyBroken
	if requestID == "" {
		why = whyReported
	}
	check := func(ctx context.Context) {
		defer close(end)
		sleep(ctx, delay)
		r.connectionChecks.start(replica.Incarnation(), time.Now())
		r.connectOrAvoid(ctx, replica, requestID, r.crashCandidates(replica), why)
	}
	if !r.enqueueCheck(check) {
		r.connectionChecks.start(replica.Incarnation(), time.Now())
		close(end)
	}
	return end
}

// awaitCheck waits for the check of a replica whose connection broke, so that a request which crashed it is known as a suspect
// before it is sent again.
func awaitCheck(ctx context.Context, end <-chan struct{}) {
	timer := time.NewTimer(maxCheckWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-end:
	}
}

// checkHealth asks a replica in the background whether it takes requests, after it refused one for no known reason. The
// replica's entry in the store does not say that it is leaving while the store is unreachable.
func (r *Relay) checkHealth(replica *mangoreplica.Replica, path, requestID string) {
	if path == "" || !r.healthChecks.allow(replica.Incarnation(), time.Now()) {
		return
	}
	candidates := r.crashCandidates(replica)
	r.enqueueCheck(func(ctx context.Context) {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		health, err := r.prober.Health(queryCtx, replica, path)
		entry := r.logger.WithFields(logrus.Fields{"event": "replica_asked", "replica": replica.ID, "address": replica.Address, "request": requestID})
		if err != nil {
			entry.WithError(err).Warn("failed to read the health of a replica")
			r.connectOrAvoid(ctx, replica, requestID, candidates, whyRefused)
			return
		}
		entry.WithField("health", health.String()).Info("read the health of a replica")
		if health == Leaving {
			r.avoid(replica, mangoreplica.CauseLeaving, holdLeaving, requestID)
		}
	})
}

// connectOrAvoid connects to a replica. If that fails, it avoids the replica and wakes the requests in flight on it. It
// reports a crash if the process has ended, or if no other replica in the data centre is unreachable.
func (r *Relay) connectOrAvoid(ctx context.Context, replica *mangoreplica.Replica, requestID string, candidates []mangocrash.InFlight, why string) {
	err := r.dialer.Reach(ctx, replica.Address, connectCheckTimeout)
	if ctx.Err() == nil {
		r.chainChecks.observe(why, err)
	}
	if err == nil {
		r.markReachable(replica, requestID)
		return
	}
	if ctx.Err() != nil {
		return
	}
	cause := connectErrorCause(err)
	r.avoid(replica, cause, holdLost, requestID)
	if cause == mangoreplica.CauseEnded {
		r.reportCrash(replica, candidates)
		r.inFlight.wakeAll(replica.Incarnation())
		return
	}
	// The candidates are known, so the requests need not wait for the checks of other replicas.
	r.inFlight.wakeAll(replica.Incarnation())
	if !r.dataCentreUnreachable(ctx, replica) {
		r.reportCrash(replica, withoutParts(candidates))
	}
}

// dataCentreUnreachable reports whether another replica of the service in the same data centre is unreachable as well.
// Then the network path is lost, and no request crashed them. The checks of a chain end at about the same time, so it
// first waits for the others.
func (r *Relay) dataCentreUnreachable(ctx context.Context, replica *mangoreplica.Replica) bool {
	sleep(ctx, otherChecksWait)
	outages := r.health.Outages(time.Now())
	for _, o := range r.state.View().Fleet.ByService(replica.Service) {
		if o.ID == replica.ID || o.DataCentre != replica.DataCentre {
			continue
		}
		if outage, ok := outages[o.Incarnation()]; ok && outage.Cause == mangoreplica.CauseUnreachable {
			return true
		}
	}
	return false
}

// markReachable ends the outage of a replica that accepts connections again, whichever daemon found it unreachable.
func (r *Relay) markReachable(replica *mangoreplica.Replica, requestID string) {
	if r.health.MarkReachable(replica.Incarnation(), time.Now()) {
		r.logger.WithFields(logrus.Fields{"event": "replica_back", "replica": replica.ID, "address": replica.Address, "request": requestID}).
			Info("avoided replica accepts connections and is used again")
		now := time.Now()
		r.peers.AnnounceOutage(mangoreplica.Outage{Replica: replica.Incarnation(), Cause: mangoreplica.CauseReachable, At: now, Until: now.Add(holdLost)})
	}
}

// MarkLost wakes the requests in flight on a replica that a hub found lost, and reports them as those that may have crashed it. It
// never blocks.
func (r *Relay) MarkLost(replica *mangoreplica.Replica) {
	r.reportFoundLost(replica, r.health.Outages(time.Now())[replica.Incarnation()].Cause)
	r.inFlight.wakeAll(replica.Incarnation())
}

// CheckReplica checks in the background a replica that another part of this daemon or another daemon found lost. It never
// blocks.
func (r *Relay) CheckReplica(replica *mangoreplica.Replica) {
	r.checkConnection(replica, "")
}
