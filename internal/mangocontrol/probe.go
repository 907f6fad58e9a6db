package mangocontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// probers is the number of daemons of a data centre that probe the same upstream at intervals. In a large one it is
	// one: others take over when the report is past probeMaxAge, and a second one would cost 3 KB/s of 14.
	probers = 2
	// probeParallel bounds the probes of one daemon at a time.
	probeParallel = 16
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probeMaxAge is the age of an engine's own report past which any daemon probes, whoever the probers are. Relayed load
	// figures do not tell the version and the layers.
	probeMaxAge = 8 * time.Second
	// ejectedProbes bounds the probes of ejected hosts in a round, so that the loss of a data centre leaves slots.
	ejectedProbes = 8
	// staleProbes bounds the probes of old reports in a round. Without a bound all 410 daemons probe all 4,100 replicas,
	// 300 a second each, and replicas behind a cut link fill the slots of the others.
	staleProbes = 4
)

// probe reads the state of engines: those never read, those assigned to this daemon and those that calls ask for.
func (c *Controller) probe(ctx context.Context) {
	slots := make(chan struct{}, probeParallel)
	start := func(h mangohost.Host) {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			c.probeHost(ctx, h)
		}()
	}
	defer func() {
		for range probeParallel {
			slots <- struct{}{}
		}
	}()
	var last time.Time
	for {
		round := c.now().Sub(last) >= c.times.ProbeInterval
		if round {
			last = c.now()
		}
		snapshot := c.Snapshot()
		for _, h := range c.dueHosts(snapshot, round) {
			start(h)
		}
		if !c.awaitProbe(ctx, start) {
			return
		}
	}
}

// awaitProbe serves requests for single probes until the next look at all hosts.
func (c *Controller) awaitProbe(ctx context.Context, start func(mangohost.Host)) bool {
	timer := time.NewTimer(c.times.ProbeInterval / 4)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case name := <-c.reprobe:
			if h, ok := c.Snapshot().Directory.Host(name); ok {
				start(h)
			}
		case <-timer.C:
			return true
		}
	}
}

// dueHosts returns the hosts that this daemon probes now: unknown, ejected and assigned ones, and some whose report is old.
func (c *Controller) dueHosts(s *Snapshot, round bool) []mangohost.Host {
	if !round {
		return nil
	}
	duty := newDuty(c.identity, s.Members)
	var due, ejected, stale []mangohost.Host
	for h := range s.Directory.All(mangohost.RoleEngine) {
		switch {
		case h.Engine == nil || duty.assigned(h):
			due = append(due, h)
		case h.State(s.TakenAt) == mangohost.StateEjected:
			ejected = append(ejected, h)
		case s.TakenAt.Sub(h.ProbedAt) > probeMaxAge:
			stale = append(stale, h)
		}
	}
	return append(append(due, some(ejected, ejectedProbes)...), some(stale, staleProbes)...)
}

// some returns at most n hosts, chosen at random.
func some(hosts []mangohost.Host, n int) []mangohost.Host {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}

func (c *Controller) probeHost(ctx context.Context, h mangohost.Host) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := c.engines.State(ctx, h.Address)
	now := c.now()
	if err != nil {
		c.probeFailed(h, err, now)
		return
	}
	c.observe(func(s *state) {
		s.directory = s.directory.With(h.Name, func(known mangohost.Host) mangohost.Host {
			if known.Address != h.Address {
				return known
			}
			c.logReport(known, report)
			return known.WithReport(report, now).WithSuccess(now)
		})
	})
}

// probeFailed ejects a host that also failed a call or was never read; a single lost probe ejects nobody.
func (c *Controller) probeFailed(h mangohost.Host, err error, now time.Time) {
	c.logger.WithFields(logrus.Fields{"event": "probe_failed", "host": h.Name}).WithError(err).Debug("upstream not probed")
	if h.Failures == 0 {
		return
	}
	c.observe(func(s *state) {
		s.directory = s.directory.With(h.Name, func(known mangohost.Host) mangohost.Host { return known.WithFailure(now) })
		s.dirty = true
	})
}

// logReport writes a line when an upstream's content or readiness changed.
func (c *Controller) logReport(known mangohost.Host, report *mangomessage.EngineState) {
	if known.Engine != nil && known.Engine.Version == report.Version && known.Engine.Model == report.Model &&
		known.Engine.FromLayer == report.FromLayer && known.Engine.ToLayer == report.ToLayer && known.Refused == report.Leaving {
		return
	}
	c.logger.WithFields(logrus.Fields{
		"event": "upstream_state", "host": known.Name, "model": report.Model, "version": report.Version,
		"from_layer": report.FromLayer, "to_layer": report.ToLayer, "leaving": report.Leaving,
	}).Info("upstream reported")
}
