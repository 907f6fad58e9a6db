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
	// probeTimeout bounds a question to a replica about its stalled requests.
	probeTimeout = 250 * time.Millisecond
	// checkTimeout bounds a connection that only shows that a replica lives; the round trip within a data centre is well
	// below a millisecond.
	checkTimeout = 100 * time.Millisecond
	// cutPause is the time for the other checks of a chain to end.
	cutPause = 50 * time.Millisecond
	// probeInterval is the least time between two questions to one replica; its report is about 200 ms old.
	probeInterval = 150 * time.Millisecond
	// healthInterval is the least time between two questions to one replica whether it takes requests.
	healthInterval = time.Second
	// maxFingerprints bounds the fingerprints in one line of a log.
	maxFingerprints = 64
	// holdLeaving is the time for which a replica that says that it is leaving is avoided; it is asked again after it
	// refuses another request.
	holdLeaving = 3 * time.Second
)

// probes remembers when replicas were last asked.
type probes struct {
	mu       sync.Mutex
	interval time.Duration
	last     map[mangoreplica.Incarnation]time.Time
}

func newProbes(interval time.Duration) *probes {
	return &probes{interval: interval, last: map[mangoreplica.Incarnation]time.Time{}}
}

// allow reports whether a replica may be asked now.
func (p *probes) allow(r mangoreplica.Incarnation, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last[r]) < p.interval {
		return false
	}
	for k, at := range p.last {
		if now.Sub(at) > time.Minute {
			delete(p.last, k)
		}
	}
	p.last[r] = now
	return true
}

// examine finds out in the background whether all replicas of a silent chain still accept connections.
func (r *Relay) examine(t target, request string) {
	if !r.checks.allow(t.first.Incarnation(), time.Now()) {
		return
	}
	for _, p := range t.parts {
		aboard := r.fingerprints(p.Replica)
		r.later(func(ctx context.Context) { r.check(ctx, p.Replica, request, aboard) })
	}
}

// diagnose asks the first replica of a silent chain in the background which replica is at fault.
func (r *Relay) diagnose(first *mangoreplica.Replica, request string) {
	if !r.probes.allow(first.Incarnation(), time.Now()) {
		return
	}
	r.later(func(ctx context.Context) {
		asking, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		stalls, err := r.prober.Stalled(asking, first)
		if err != nil {
			r.logger.WithField("replica", first.ID).WithField("request", request).WithError(err).Warn("a replica did not say what it waits for")
			r.check(ctx, first, request, nil)
			return
		}
		fleet := r.state.View().Fleet
		for _, s := range stalls {
			// A replica that gave up layers is not lost; the requests that wait there leave it by their silence.
			if lost := fleet.ByAddress(s.ReplicaAddress); lost != nil && !lost.ReleasingLayers {
				r.avoid(lost, mangoreplica.CauseStalled, holdStalled, s.RequestID)
				r.crashed(lost, r.fingerprints(lost))
			}
		}
	})
}

// verify finds out in the background whether a replica whose connection broke still accepts connections; if not, the
// requests aboard may have crashed it.
func (r *Relay) verify(replica *mangoreplica.Replica, request string) {
	if !r.probes.allow(replica.Incarnation(), time.Now()) {
		return
	}
	aboard := r.fingerprints(replica)
	r.later(func(ctx context.Context) { r.check(ctx, replica, request, aboard) })
}

// inquire asks a replica in the background whether it takes requests, after it refused one for no known reason. The entry
// of a replica that leaves does not say so while the store is away.
func (r *Relay) inquire(replica *mangoreplica.Replica, path, request string) {
	if path == "" || !r.health.allow(replica.Incarnation(), time.Now()) {
		return
	}
	aboard := r.fingerprints(replica)
	r.later(func(ctx context.Context) {
		asking, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		health, err := r.prober.Health(asking, replica, path)
		entry := r.logger.WithFields(logrus.Fields{"event": "replica_asked", "replica": replica.ID, "address": replica.Address, "request": request})
		if err != nil {
			entry.WithError(err).Warn("a replica did not say whether it takes requests")
			r.check(ctx, replica, request, aboard)
			return
		}
		entry.WithField("health", health.String()).Info("a replica said whether it takes requests")
		if health == Leaving {
			r.avoid(replica, mangoreplica.CauseLeaving, holdLeaving, request)
		}
	})
}

func (r *Relay) check(ctx context.Context, replica *mangoreplica.Replica, request string, aboard []string) {
	err := r.dialer.Reach(ctx, replica.Address, checkTimeout)
	if err == nil {
		r.reached(replica, request)
		return
	}
	if ctx.Err() != nil {
		return
	}
	cause := causeOf(err)
	r.avoid(replica, cause, holdLost, request)
	if cause == mangoreplica.CauseEnded || !r.cutOff(ctx, replica) {
		r.crashed(replica, aboard)
	}
	r.aboard.wake(replica.Incarnation())
}

// cutOff reports whether other replicas in the data centre are out of reach as well: then the way there is lost, and no
// request crashed them. The checks of a chain end at about the same time, hence the pause.
func (r *Relay) cutOff(ctx context.Context, replica *mangoreplica.Replica) bool {
	sleep(ctx, cutPause)
	outages := r.board.Outages(time.Now())
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

// reached notes that a replica accepts connections although it was found out of reach, by this daemon or another one.
func (r *Relay) reached(replica *mangoreplica.Replica, request string) {
	if r.board.MarkReachable(replica.Incarnation(), time.Now()) {
		r.logger.WithFields(logrus.Fields{"event": "replica_back", "replica": replica.ID, "address": replica.Address, "request": request}).
			Info("an avoided replica accepts connections")
	}
}

// CheckReplica checks in the background a replica that another part of this daemon or another daemon found lost. It never blocks.
func (r *Relay) CheckReplica(replica *mangoreplica.Replica) {
	r.verify(replica, "")
}

// fingerprints returns the requests that may crash a replica now: those that pass through it, or none if it is to end by
// itself. They are taken before a check, during which those that the replica crashed leave it.
func (r *Relay) fingerprints(replica *mangoreplica.Replica) []string {
	if r.leaves(replica) {
		return nil
	}
	return r.aboard.fingerprints(replica.Incarnation())
}

// leaves reports whether a replica is to end, by its entry or by what it said of itself.
func (r *Relay) leaves(replica *mangoreplica.Replica) bool {
	if entry := r.state.View().Fleet.ByID(replica.ID); entry != nil && entry.Draining {
		return true
	}
	return r.board.Outages(time.Now())[replica.Incarnation()].Cause == mangoreplica.CauseLeaving
}

// crashed tells what was aboard a replica that crashed. Crashes in one data centre at about the same time count as one: a
// request passes through many replicas there, and all of them are lost together with their power or their network, while a
// request that crashes replicas is sent to another data centre next.
func (r *Relay) crashed(replica *mangoreplica.Replica, aboard []string) {
	if len(aboard) == 0 {
		return
	}
	r.suspects.Report(mangosuspect.NewCrashID(replica.DataCentre+"/"+replica.Service), aboard, time.Now())
	r.herald.Crashed()
	r.logger.WithFields(logrus.Fields{
		"event": "crash_reported", "replica": replica.ID, "address": replica.Address, "data_centre": replica.DataCentre,
		"requests": len(aboard), "fingerprints": strings.Join(aboard[:min(len(aboard), maxFingerprints)], ","),
	}).Warn("a replica crashed with requests aboard")
}
