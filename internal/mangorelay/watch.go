package mangorelay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangosuspect"
)

const (
	// firstSoft and firstHard are the times without a first event after which the cause is looked for and the chain is
	// given up. The first event comes after about 60 ms on a calm day.
	firstSoft = 250 * time.Millisecond
	firstHard = 900 * time.Millisecond
	// queueWaits is the least of these times in units of the wait that is usual for the chain's data centre at the moment.
	queueWaits = 3
	// gapSoft and gapHard are the same for the time between events, which is about 30 ms on a calm day. A stream is on
	// time with pauses up to 200 ms, of which a new chain needs about 60.
	gapSoft = 100 * time.Millisecond
	gapHard = 600 * time.Millisecond
	// softGaps and hardGaps are the least of these times in units of the usual pause of the stream: on slow replicas every
	// pause is long, and another chain would be no better.
	softGaps = 3
	hardGaps = 8
	// lastHard is the limit when no other chain may be tried; callers leave a stream after 2 s of silence.
	lastHard = 2400 * time.Millisecond
	// reportAfter is the silence after which the first replica is asked what it waits for; its report is about 200 ms old.
	reportAfter = 300 * time.Millisecond
	// stallPoll is the time between two looks at what is known about a chain that is silent.
	stallPoll = 25 * time.Millisecond
	// plainHardMin is the least time for which an idempotent request waits before another replica is tried.
	plainHardMin = 250 * time.Millisecond
	// plainHardTargets is that time in units of the route's target.
	plainHardTargets = 2
	// unbounded is longer than any deadline; the context ends the wait.
	unbounded = time.Hour
)

// watch decides how long a try waits for bytes.
type watch struct {
	call   *call
	target target
	// woken says that a replica of the target was found lost since the send.
	woken atomic.Bool
}

// wait implements mangoconn.Patience.
func (w *watch) wait(silent time.Duration) time.Duration {
	soft, hard := w.limits()
	switch {
	case silent >= hard:
		return 0
	case w.woken.Load() && w.partLost(func(c mangoreplica.Cause) bool { return c == mangoreplica.CauseEnded }):
		// No event can come through a process that has ended.
		return 0
	case silent < soft:
		return min(soft, hard) - silent
	case len(w.target.parts) == 0:
		return hard - silent
	case w.partLost(mangoreplica.Cause.Lost):
		return 0
	}
	w.call.relay.examine(w.target, w.call.request.ID)
	if silent >= reportAfter {
		w.call.relay.diagnose(w.target.first, w.call.request.ID)
	}
	return min(stallPoll, hard-silent)
}

// limits returns the times of silence after which the cause is looked for and the try is given up.
func (w *watch) limits() (soft, hard time.Duration) {
	c := w.call
	another := c.route.Repeatable() && c.attempts() < c.route.MaxAttempts
	switch {
	case len(w.target.parts) == 0 && c.route.Kind != mangoroute.Stream:
		if !another {
			return unbounded, unbounded
		}
		hard = max(plainHardMin, plainHardTargets*c.route.Target)
		return hard, hard
	case !another:
		return firstSoft, lastHard
	case c.started:
		return max(gapSoft, softGaps*c.usualGap), max(gapHard, 2*c.route.GapTarget, hardGaps*c.usualGap)
	default:
		// A request that waits in a queue gains nothing by waiting in it again from its end.
		queue := queueWaits * c.relay.delays.Estimate(c.serviceName, w.target.dataCentre, time.Now())
		return firstSoft, min(max(firstHard, c.relay.pace.slow(), queue), lastHard)
	}
}

// partLost reports whether a replica of the chain is avoided for a cause of some kind.
func (w *watch) partLost(kind func(mangoreplica.Cause) bool) bool {
	outages := w.call.relay.board.Outages(time.Now())
	if len(outages) == 0 {
		return false
	}
	for _, p := range w.target.parts {
		if o, ok := outages[p.Replica.Incarnation()]; ok && kind(o.Cause) {
			return true
		}
	}
	return false
}

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
		aboard := r.aboard.fingerprints(p.Replica.Incarnation())
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
			if lost := fleet.ByAddress(s.Address); lost != nil {
				r.avoid(lost, mangoreplica.CauseStalled, holdStalled, s.Request)
				r.crashed(lost, r.aboard.fingerprints(lost.Incarnation()))
			}
		}
	})
}

// verify finds out in the background whether a replica whose connection broke still accepts connections; if not, the
// requests aboard may have crashed it.
func (r *Relay) verify(replica *mangoreplica.Replica, request string, aboard []string) {
	if !r.probes.allow(replica.Incarnation(), time.Now()) {
		return
	}
	r.later(func(ctx context.Context) { r.check(ctx, replica, request, aboard) })
}

// inquire asks a replica in the background whether it takes requests, after it refused one for no known reason. The entry
// of a replica that leaves does not say so while the store is away.
func (r *Relay) inquire(replica *mangoreplica.Replica, path, request string, aboard []string) {
	if path == "" || !r.health.allow(replica.Incarnation(), time.Now()) {
		return
	}
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

// reached notes that a replica accepts connections although it was found out of reach, by this daemon or another one.
func (r *Relay) reached(replica *mangoreplica.Replica, request string) {
	if r.board.Reached(replica.Incarnation(), time.Now()) {
		r.logger.WithFields(logrus.Fields{"event": "replica_back", "replica": replica.ID, "address": replica.Address, "request": request}).
			Info("an avoided replica accepts connections")
	}
}

// Suspect checks in the background a replica that another part of this daemon or another daemon found lost. It never blocks.
func (r *Relay) Suspect(replica *mangoreplica.Replica) {
	r.verify(replica, "", r.aboard.fingerprints(replica.Incarnation()))
}

// crashed tells what was aboard a replica that crashed. Crashes in one data centre at about the same time count as one: a
// request passes through many replicas there, and all of them are lost together with their power or their network, while a
// request that crashes replicas is sent to another data centre next.
func (r *Relay) crashed(replica *mangoreplica.Replica, aboard []string) {
	if len(aboard) > 0 {
		r.suspects.Report(mangosuspect.NewCrashID(replica.DataCentre+"/"+replica.Service), aboard, time.Now())
		r.herald.Crashed()
	}
}

// pace keeps the usual time to the first event.
type pace struct{ nanos atomic.Int64 }

const (
	// paceWeight is the weight of a new value in the mean.
	paceWeight = 0.05
	// paceSlow is the multiple of the mean that counts as slow, and paceMax its bound.
	paceSlow = 4
	paceMax  = 2 * time.Second
)

func (p *pace) note(d time.Duration) {
	old := p.nanos.Load()
	// A lost update by another goroutine only costs one sample.
	p.nanos.Store(old + int64(paceWeight*float64(int64(d)-old)))
}

func (p *pace) slow() time.Duration { return min(paceSlow*time.Duration(p.nanos.Load()), paceMax) }
