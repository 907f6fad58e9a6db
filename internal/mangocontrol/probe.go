package mangocontrol

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// probers is the number of daemons of a data centre that probe the same upstream at intervals.
	probers = 2
	// probeParallel bounds the probes of one daemon at a time.
	probeParallel = 16
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probeMaxAge is the age of an engine's own report past which any daemon probes, whoever the probers are. Relayed load
	// figures do not tell the version and the layers.
	probeMaxAge = 8 * time.Second
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
		round := c.now().Sub(last) >= c.times.Probe
		if round {
			last = c.now()
		}
		snapshot := c.Snapshot()
		for _, h := range snapshot.Directory.Hosts(mangohost.RoleEngine) {
			if c.due(snapshot, h, round) {
				start(h)
			}
		}
		if !c.awaitProbe(ctx, start) {
			return
		}
	}
}

// awaitProbe serves requests for single probes until the next look at all hosts.
func (c *Controller) awaitProbe(ctx context.Context, start func(mangohost.Host)) bool {
	timer := time.NewTimer(c.times.Probe / 4)
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

// due reports whether this daemon probes a host now: unknown and ejected hosts at each look, others in turn.
func (c *Controller) due(s *Snapshot, h mangohost.Host, round bool) bool {
	switch {
	case h.Engine == nil:
		return round
	case !round:
		return false
	case h.State(s.At) == mangohost.StateEjected:
		return true
	case s.At.Sub(h.ProbedAt) > probeMaxAge:
		return true
	default:
		return c.assigned(s, h)
	}
}

// assigned chooses the probers of a host by rendezvous hashing among the live daemons of its data centre, or among
// all of them when it has none.
func (c *Controller) assigned(s *Snapshot, h mangohost.Host) bool {
	own := rendezvous(c.identity.Name, h.Name)
	local := c.identity.DataCentre == h.DataCentre
	higher, others := 0, 0
	for _, m := range s.Members {
		if m.DataCentre != h.DataCentre {
			continue
		}
		others++
		if rendezvous(m.Name, h.Name) > own {
			higher++
		}
	}
	if local {
		return higher < probers
	}
	if others > 0 {
		return false
	}
	higher = 0
	for _, m := range s.Members {
		if rendezvous(m.Name, h.Name) > own {
			higher++
		}
	}
	return higher < probers
}

func rendezvous(daemon, host string) uint64 { return xxhash.Sum64String(daemon + "\x00" + host) }

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
