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
	// probersPerHost is the number of daemons that probe the same upstream at intervals. With more than largeFleetPeers
	// candidates it is one: a second one would cost 3 of the 14 KB/s of a daemon, and other daemons take over when the
	// report is older than staleReportAge.
	probersPerHost = 2
	// maxParallelProbes bounds the probes that a daemon runs at the same time.
	maxParallelProbes = 16
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// staleReportAge is the age of an engine's own report from which any daemon may probe the engine. Load reports that
	// peers relay do not renew it, since they contain neither the version nor the layers.
	staleReportAge = 8 * time.Second
	// maxEjectedProbes bounds the probes of ejected hosts in a round, so that hosts of a lost data centre do not delay
	// the probes of others.
	maxEjectedProbes = 8
	// maxStaleProbes bounds the probes of hosts with old reports in a round. Without a bound, all of 410 daemons probe
	// all 4,100 replicas, at 300 probes a second each, and replicas behind a broken link delay the probes of others.
	maxStaleProbes = 4
)

// runProbes probes the engines that are due once in each ProbeInterval, and others on request.
func (c *Controller) runProbes(ctx context.Context) {
	slots := make(chan struct{}, maxParallelProbes)
	start := func(h mangohost.Host) {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			c.probeHost(ctx, h)
		}()
	}
	defer func() {
		for range maxParallelProbes {
			slots <- struct{}{}
		}
	}()
	var lastRound time.Time
	for {
		isRound := c.now().Sub(lastRound) >= c.timing.ProbeInterval
		if isRound {
			lastRound = c.now()
		}
		snapshot := c.Snapshot()
		for _, h := range c.dueHosts(snapshot, isRound) {
			start(h)
		}
		if !c.serveProbeRequests(ctx, start) {
			return
		}
	}
}

// serveProbeRequests probes single hosts on request for a quarter of ProbeInterval. It returns false when the context ended.
func (c *Controller) serveProbeRequests(ctx context.Context, start func(mangohost.Host)) bool {
	timer := time.NewTimer(c.timing.ProbeInterval / 4)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case name := <-c.probeRequests:
			if h, ok := c.Snapshot().Directory.Host(name); ok {
				start(h)
			}
		case <-timer.C:
			return true
		}
	}
}

// dueHosts returns the engines that this daemon probes in a round: those that have never answered a probe, those whose
// prober it is, and some of those that are ejected or whose report is old. Between rounds it returns none.
func (c *Controller) dueHosts(s *Snapshot, isRound bool) []mangohost.Host {
	if !isRound {
		return nil
	}
	selection := newProberSelection(c.identity, s.Members)
	var due, ejected, stale []mangohost.Host
	for h := range s.Directory.All(mangohost.RoleEngine) {
		switch {
		case h.Report == nil || selection.selectsSelf(h):
			due = append(due, h)
		case h.State(s.TakenAt) == mangohost.StateEjected:
			ejected = append(ejected, h)
		case s.TakenAt.Sub(h.ProbedAt) > staleReportAge:
			stale = append(stale, h)
		}
	}
	return append(append(due, randomHosts(ejected, maxEjectedProbes)...), randomHosts(stale, maxStaleProbes)...)
}

// randomHosts returns at most n of the hosts, chosen at random; it shuffles the slice.
func randomHosts(hosts []mangohost.Host, n int) []mangohost.Host {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}

// probeHost reads the state of one engine and records it, unless the host has moved to another address meanwhile.
func (c *Controller) probeHost(ctx context.Context, h mangohost.Host) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := c.engines.State(ctx, h.Address)
	now := c.now()
	if err != nil {
		c.handleProbeFailure(h, err, now)
		return
	}
	c.tryApply(func(s *state) {
		s.directory = s.directory.With(h.Name, func(known mangohost.Host) mangohost.Host {
			if known.Address != h.Address {
				return known
			}
			c.logStateChange(known, report)
			return known.WithReport(report, now).WithSuccess(now)
		})
	})
}

// handleProbeFailure records a failed probe of a host that has had failures since its last success, which ejects the
// host. For any other host it only logs the failure, so that a single lost probe ejects no host.
func (c *Controller) handleProbeFailure(h mangohost.Host, err error, now time.Time) {
	c.logger.WithFields(logrus.Fields{"event": "probe_failed", "host": h.Name}).WithError(err).Debug("probe of upstream failed")
	if h.Failures == 0 {
		return
	}
	c.tryApply(func(s *state) {
		s.directory = s.directory.With(h.Name, func(known mangohost.Host) mangohost.Host { return known.WithFailure(now) })
		s.viewsStale = true
	})
}

// logStateChange logs a report in which the model, the version, the layers or the leaving flag of an upstream changed.
func (c *Controller) logStateChange(known mangohost.Host, report *mangomessage.EngineState) {
	if known.Report != nil && known.Report.Version == report.Version && known.Report.Model == report.Model &&
		known.Report.FromLayer == report.FromLayer && known.Report.ToLayer == report.ToLayer && known.ReportedLeaving == report.Leaving {
		return
	}
	c.logger.WithFields(logrus.Fields{
		"event": "upstream_state", "host": known.Name, "model": report.Model, "version": report.Version,
		"from_layer": report.FromLayer, "to_layer": report.ToLayer, "leaving": report.Leaving,
	}).Info("upstream reported a change")
}
