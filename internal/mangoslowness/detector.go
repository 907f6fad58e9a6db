package mangoslowness

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// minProbeInterval is the least time between two probes of a data centre by any daemon. Each probe has a cost for
	// the replica.
	minProbeInterval = 1500 * time.Millisecond
	// followUpInterval replaces minProbeInterval after a probe that was the first for quietPeriod. What replicas report is
	// some hundred milliseconds old, so those that have just become slow do not report it yet.
	followUpInterval = 500 * time.Millisecond
	quietPeriod      = 5 * time.Second
	// probeJitter bounds the random delay before a probe. A probe by another daemon within it makes this one needless.
	probeJitter = 80 * time.Millisecond
	// recheckInterval is the time after which a slow replica is probed again. It is well below the time for which the
	// health tracker uses a reported slowness.
	recheckInterval = 1200 * time.Millisecond
	// probeTimeout bounds the probe of one replica, and probeConcurrency the number of replicas probed at once.
	probeTimeout     = 400 * time.Millisecond
	probeConcurrency = 8
	// suspectQueueSize bounds the data centres that wait to be probed.
	suspectQueueSize = 16
)

// Prober asks a replica for its slowness: the time of its decode steps in units of the usual one.
type Prober interface {
	Slowness(ctx context.Context, r *mangoreplica.Replica) (float64, error)
}

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// serviceDataCentre identifies the replicas of a service in a data centre.
type serviceDataCentre struct{ service, dataCentre string }

// probeTimes has the times of the last probe of a data centre and of the one before it.
type probeTimes struct{ last, previous time.Time }

// due reports whether the data centre may be probed again.
func (t probeTimes) due(now time.Time) bool {
	interval := minProbeInterval
	if t.last.Sub(t.previous) >= quietPeriod {
		interval = followUpInterval
	}
	return now.Sub(t.last) >= interval
}

// add returns the times with a later probe added. Probes of several daemons at about the same time count as one.
func (t probeTimes) add(at time.Time) probeTimes {
	if at.Sub(t.last) < followUpInterval/2 {
		return t
	}
	return probeTimes{last: at, previous: t.last}
}

// Detector probes replicas to find slow ones. Its methods are safe for concurrent use.
type Detector struct {
	state       State
	prober      Prober
	health      *mangoreplica.HealthTracker
	announce    func(p mangoreplica.Pace)
	logger      logrus.FieldLogger
	slowReports chan serviceDataCentre

	mu sync.Mutex
	// probed has the times of the last probes of each data centre by any daemon.
	probed map[serviceDataCentre]probeTimes
	// slow has the replicas that this daemon found slow, with the time of their last probe.
	slow map[mangoreplica.Incarnation]time.Time
}

// Option sets a property of a Detector.
type Option func(*Detector)

// WithLogger sets the logger of probes and of replicas that become slow or recover.
func WithLogger(l logrus.FieldLogger) Option { return func(d *Detector) { d.logger = l } }

// New returns a detector. It passes results to the health tracker and to announce, which sends them to the other daemons and
// must not block.
func New(state State, prober Prober, health *mangoreplica.HealthTracker, announce func(p mangoreplica.Pace), opts ...Option) *Detector {
	d := &Detector{
		state: state, prober: prober, health: health, announce: announce, logger: logrus.StandardLogger(),
		slowReports: make(chan serviceDataCentre, suspectQueueSize), probed: map[serviceDataCentre]probeTimes{}, slow: map[mangoreplica.Incarnation]time.Time{},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// ReportSlow asks Run to probe the replicas of a data centre in which requests are slow, unless they were probed lately. It
// never blocks.
func (d *Detector) ReportSlow(service, dataCentre string) {
	if !d.due(serviceDataCentre{service, dataCentre}, time.Now()) {
		return
	}
	select {
	case d.slowReports <- serviceDataCentre{service, dataCentre}:
	default:
	}
}

// due reports whether a data centre may be probed again.
func (d *Detector) due(c serviceDataCentre, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probed[c].due(now)
}

// RecordPeerReport takes the slowness of a replica that another daemon has probed. It never blocks.
func (d *Detector) RecordPeerReport(p mangoreplica.Pace, from string) {
	r := d.state.View().Fleet.ByID(p.Replica.ID)
	if r == nil || r.Born != p.Replica.Born {
		return
	}
	d.mu.Lock()
	c := serviceDataCentre{r.Service, r.DataCentre}
	d.probed[c] = d.probed[c].add(p.At)
	d.mu.Unlock()
	d.record(r, p, from)
}

// Run probes replicas until the context ends.
func (d *Detector) Run(ctx context.Context) error {
	recheck := time.NewTicker(recheckInterval / 4)
	defer recheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-d.slowReports:
			d.probeDataCentre(ctx, c)
		case <-recheck.C:
			d.recheckSlow(ctx)
		}
	}
}

// probeDataCentre probes all replicas of a data centre that hold layers, unless another daemon has just done so.
func (d *Detector) probeDataCentre(ctx context.Context, c serviceDataCentre) {
	timer := time.NewTimer(rand.N(probeJitter))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	now := time.Now()
	if !d.due(c, now) {
		return
	}
	d.mu.Lock()
	d.probed[c] = d.probed[c].add(now)
	d.mu.Unlock()
	var replicas []*mangoreplica.Replica
	for _, r := range d.state.View().Fleet.ByService(c.service) {
		if r.DataCentre == c.dataCentre && r.Layers.Len() > 0 {
			replicas = append(replicas, r)
		}
	}
	d.probeAll(ctx, replicas)
	slow := 0
	for _, r := range replicas {
		if d.health.Slow(r.Incarnation(), now) {
			slow++
		}
	}
	d.logger.WithFields(logrus.Fields{
		"event": "paces_asked", "service": c.service, "data_centre": c.dataCentre, "replicas": len(replicas), "slow": slow,
		"took_ms": time.Since(now).Milliseconds(),
	}).Info("probed the replicas of a data centre with slow requests")
}

// recheckSlow probes the replicas that this daemon found slow and has not probed for recheckInterval.
func (d *Detector) recheckSlow(ctx context.Context) {
	now := time.Now()
	fleet := d.state.View().Fleet
	var replicas []*mangoreplica.Replica
	d.mu.Lock()
	for i, probedAt := range d.slow {
		r := fleet.ByID(i.ID)
		switch {
		case r == nil || r.Born != i.Born:
			delete(d.slow, i)
		case now.Sub(probedAt) >= recheckInterval:
			replicas = append(replicas, r)
		}
	}
	d.mu.Unlock()
	d.probeAll(ctx, replicas)
}

// probeAll probes replicas concurrently and returns when all have answered or timed out.
func (d *Detector) probeAll(ctx context.Context, replicas []*mangoreplica.Replica) {
	var group sync.WaitGroup
	slots := make(chan struct{}, probeConcurrency)
	for _, r := range replicas {
		slots <- struct{}{}
		group.Go(func() {
			d.probe(ctx, r)
			<-slots
		})
	}
	group.Wait()
}

// probe asks one replica for its slowness and passes the result on. A slow replica that does not answer stays in d.slow.
func (d *Detector) probe(ctx context.Context, r *mangoreplica.Replica) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	slowness, err := d.prober.Slowness(ctx, r)
	now := time.Now()
	i := r.Incarnation()
	d.mu.Lock()
	_, wasSlow := d.slow[i]
	switch {
	case err != nil && wasSlow:
		d.slow[i] = now
	case err == nil && slowness >= mangoreplica.SlowThreshold:
		d.slow[i] = now
	case err == nil:
		delete(d.slow, i)
	}
	d.mu.Unlock()
	if err != nil {
		d.logger.WithFields(logrus.Fields{"event": "pace_unknown", "replica": r.ID, "address": r.Address}).WithError(err).
			Warn("the slowness of a replica could not be read")
		return
	}
	p := mangoreplica.Pace{Replica: i, Slowness: slowness, At: now}
	d.record(r, p, "")
	d.announce(p)
}

// record stores the slowness of a replica in the health tracker and logs when the replica became slow or is no longer slow.
// from is the daemon that probed it; empty if this one did.
func (d *Detector) record(r *mangoreplica.Replica, p mangoreplica.Pace, from string) {
	if !d.health.RecordPace(p) {
		return
	}
	entry := d.logger.WithFields(logrus.Fields{
		"replica": r.ID, "address": r.Address, "data_centre": r.DataCentre, "slowness": p.Slowness, "peer": from,
	})
	if p.Slowness >= mangoreplica.SlowThreshold {
		entry.WithField("event", "replica_slow").Warn("a replica is slow; its layers are given to other replicas that have room")
		return
	}
	entry.WithField("event", "replica_paced").Info("a replica is no longer slow")
}
