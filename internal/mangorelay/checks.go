package mangorelay

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangosuspect"
)

const (
	// queryTimeout bounds a question to a replica about its stalled requests.
	queryTimeout = 250 * time.Millisecond
	// connectCheckTimeout bounds a connection that only shows that a replica lives; the round trip within a data centre is well
	// below a millisecond.
	connectCheckTimeout = 100 * time.Millisecond
	// otherChecksWait is the time for the other checks of a chain to end.
	otherChecksWait = 50 * time.Millisecond
	// checkInterval is the least time between two questions to one replica; its report is about 200 ms old.
	checkInterval = 150 * time.Millisecond
	// healthCheckInterval is the least time between two questions to one replica whether it takes requests.
	healthCheckInterval = time.Second
	// maxLoggedFingerprints bounds the fingerprints in one line of a log.
	maxLoggedFingerprints = 64
	// holdLeaving is the time for which a replica that says that it is leaving is avoided; it is asked again after it
	// refuses another request.
	holdLeaving = 3 * time.Second
)

// checkLimiter remembers when replicas were last asked.
type checkLimiter struct {
	mu       sync.Mutex
	interval time.Duration
	last     map[mangoreplica.Incarnation]time.Time
}

func newCheckLimiter(interval time.Duration) *checkLimiter {
	return &checkLimiter{interval: interval, last: map[mangoreplica.Incarnation]time.Time{}}
}

// allow reports whether a replica may be asked now.
func (l *checkLimiter) allow(r mangoreplica.Incarnation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last[r]) < l.interval {
		return false
	}
	for k, at := range l.last {
		if now.Sub(at) > time.Minute {
			delete(l.last, k)
		}
	}
	l.last[r] = now
	return true
}

// checkChain finds out in the background whether all replicas of a silent chain still accept connections.
func (r *Relay) checkChain(t target, requestID string) {
	if !r.chainChecks.allow(t.first.Incarnation(), time.Now()) {
		return
	}
	for _, p := range t.parts {
		candidates := r.crashCandidates(p.Replica)
		r.enqueueCheck(func(ctx context.Context) { r.connectOrAvoid(ctx, p.Replica, requestID, candidates) })
	}
}

// checkStalls asks the first replica of a silent chain in the background which replica is at fault.
func (r *Relay) checkStalls(first *mangoreplica.Replica, requestID string) {
	if !r.replicaChecks.allow(first.Incarnation(), time.Now()) {
		return
	}
	r.enqueueCheck(func(ctx context.Context) {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		stalls, err := r.prober.Stalled(queryCtx, first)
		if err != nil {
			r.logger.WithField("replica", first.ID).WithField("request", requestID).WithError(err).Warn("a replica did not say what it waits for")
			r.connectOrAvoid(ctx, first, requestID, nil)
			return
		}
		fleet := r.state.View().Fleet
		for _, s := range stalls {
			// A replica that gave up layers is not lost; the requests that wait there leave it by their silence.
			if lost := fleet.ByAddress(s.ReplicaAddress); lost != nil && !lost.Moving {
				r.avoid(lost, mangoreplica.CauseStalled, holdStalled, s.RequestID)
				r.reportCrash(lost, r.crashCandidates(lost))
			}
		}
	})
}

// checkConnection finds out in the background whether a replica whose connection broke still accepts connections; if not, the
// requests aboard may have crashed it.
func (r *Relay) checkConnection(replica *mangoreplica.Replica, requestID string) {
	if !r.replicaChecks.allow(replica.Incarnation(), time.Now()) {
		return
	}
	candidates := r.crashCandidates(replica)
	r.enqueueCheck(func(ctx context.Context) { r.connectOrAvoid(ctx, replica, requestID, candidates) })
}

// checkHealth asks a replica in the background whether it takes requests, after it refused one for no known reason. The entry
// of a replica that leaves does not say so while the store is away.
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
			entry.WithError(err).Warn("a replica did not say whether it takes requests")
			r.connectOrAvoid(ctx, replica, requestID, candidates)
			return
		}
		entry.WithField("health", health.String()).Info("a replica said whether it takes requests")
		if health == Leaving {
			r.avoid(replica, mangoreplica.CauseLeaving, holdLeaving, requestID)
		}
	})
}

func (r *Relay) connectOrAvoid(ctx context.Context, replica *mangoreplica.Replica, requestID string, candidates []string) {
	err := r.dialer.Reach(ctx, replica.Address, connectCheckTimeout)
	if err == nil {
		r.markReachable(replica, requestID)
		return
	}
	if ctx.Err() != nil {
		return
	}
	cause := connectErrorCause(err)
	r.avoid(replica, cause, holdLost, requestID)
	if cause == mangoreplica.CauseEnded || !r.dataCentreUnreachable(ctx, replica) {
		r.reportCrash(replica, candidates)
	}
	r.inFlight.wakeAll(replica.Incarnation())
}

// dataCentreUnreachable reports whether other replicas in the data centre are out of reach as well: then the way there is lost, and no
// request crashed them. The checks of a chain end at about the same time, hence the pause.
func (r *Relay) dataCentreUnreachable(ctx context.Context, replica *mangoreplica.Replica) bool {
	sleep(ctx, otherChecksWait)
	outages := r.board.Outages(time.Now())
	for _, o := range r.state.View().Fleet.Of(replica.Service) {
		if o.ID == replica.ID || o.DataCentre != replica.DataCentre {
			continue
		}
		if outage, ok := outages[o.Incarnation()]; ok && outage.Cause == mangoreplica.CauseUnreachable {
			return true
		}
	}
	return false
}

// markReachable notes that a replica accepts connections although it was found out of reach, by this daemon or another one.
func (r *Relay) markReachable(replica *mangoreplica.Replica, requestID string) {
	if r.board.Reached(replica.Incarnation(), time.Now()) {
		r.logger.WithFields(logrus.Fields{"event": "replica_back", "replica": replica.ID, "address": replica.Address, "request": requestID}).
			Info("an avoided replica accepts connections")
	}
}

// CheckReplica checks in the background a replica that another part of this daemon or another daemon found lost. It never blocks.
func (r *Relay) CheckReplica(replica *mangoreplica.Replica) {
	r.checkConnection(replica, "")
}

// crashCandidates returns the requests that may crash a replica now: those that pass through it, or none if it is to end by
// itself. They are taken before a check, during which those that the replica crashed leave it.
func (r *Relay) crashCandidates(replica *mangoreplica.Replica) []string {
	if r.isLeaving(replica) {
		return nil
	}
	return r.inFlight.fingerprints(replica.Incarnation())
}

// isLeaving reports whether a replica is to end, by its entry or by what it said of itself.
func (r *Relay) isLeaving(replica *mangoreplica.Replica) bool {
	if entry := r.state.View().Fleet.ByID(replica.ID); entry != nil && entry.Draining {
		return true
	}
	return r.board.Outages(time.Now())[replica.Incarnation()].Cause == mangoreplica.CauseLeaving
}

// reportCrash tells what was aboard a replica that reportCrash. Crashes in one data centre at about the same time count as one: a
// request passes through many replicas there, and all of them are lost together with their power or their network, while a
// request that crashes replicas is sent to another data centre next.
func (r *Relay) reportCrash(replica *mangoreplica.Replica, candidates []string) {
	if len(candidates) == 0 {
		return
	}
	r.suspects.Report(mangosuspect.NewCrashID(replica.DataCentre+"/"+replica.Service), candidates, time.Now())
	r.peers.Crashed()
	r.logger.WithFields(logrus.Fields{
		"event": "crash_reported", "replica": replica.ID, "address": replica.Address, "data_centre": replica.DataCentre,
		"requests": len(candidates), "fingerprints": strings.Join(candidates[:min(len(candidates), maxLoggedFingerprints)], ","),
	}).Warn("a replica crashed with requests aboard")
}
