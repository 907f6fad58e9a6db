package mangocontrol

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// StepDone takes a step's time and the load that its reply states.
func (c *Controller) StepDone(host string, took time.Duration, count int, result *mangomessage.StepResult) {
	if count == 1 {
		c.meter.Step(host, took)
	}
	c.meter.Report(host, int(result.Running+result.Waiting), c.now())
	if result.Leaving {
		c.RequestProbe(host)
	}
}

// RequestProbe takes over that an upstream refuses new work; it is probed at once for the reason.
func (c *Controller) RequestProbe(host string) {
	select {
	case c.reprobe <- host:
	default:
	}
}

// Failed takes a failure into the state of a host; a refusal is not a failure of the host.
func (c *Controller) Failed(host string, err error) {
	var upstream *mangoupstream.Error
	if errors.As(err, &upstream) && (upstream.Kind == mangoupstream.KindRefused || upstream.Kind == mangoupstream.KindNoState) {
		c.RequestProbe(host)
		return
	}
	now := c.now()
	c.observe(func(s *state) {
		s.directory = s.directory.With(host, func(h mangohost.Host) mangohost.Host { return h.WithFailure(now) })
		s.dirty = true
	})
	c.logger.WithFields(logrus.Fields{"event": "upstream_failed", "host": host}).WithError(err).Warn("upstream failed")
}

// EnginesProbed reports whether the engines are known that this daemon needs for its profiles: the host list has arrived and
// each engine on it has stated what it holds.
func (c *Controller) EnginesProbed() bool {
	s := c.Snapshot()
	if len(s.Book.Entries("Profile")) == 0 {
		return true
	}
	for _, h := range s.Directory.Hosts(mangohost.RoleEngine) {
		if h.State(s.TakenAt) == mangohost.StateUnprobed {
			return false
		}
	}
	return s.Directory.ListAsOf() > 0
}

// PoolCapacities returns the number of calls that the engines run at once, by pool, for the pools that have any. It does
// not use kept views, which lag behind the probes that an entry host makes at its start.
func (c *Controller) PoolCapacities() map[string]int {
	s := c.Snapshot()
	capacities := map[string]int{}
	for _, e := range s.Book.Entries("Profile") {
		profile := e.GetProfile()
		if profile.GetKind() != KindCompletion {
			continue
		}
		if n := mangochain.Capacity(s.view(profile), profile); n > 0 {
			capacities[PoolName(profile)] = n
		}
	}
	return capacities
}

// Leaving reports whether running calls have to leave a host.
func (c *Controller) Leaving(host string) bool {
	s := c.Snapshot()
	return s.Directory.Leaving(host, s.TakenAt)
}

// Succeeded ends the ejection of a service replica that answered.
func (c *Controller) Succeeded(host string) {
	if h, ok := c.Snapshot().Directory.Host(host); !ok || h.Failures == 0 {
		return
	}
	now := c.now()
	c.observe(func(s *state) {
		s.directory = s.directory.With(host, func(h mangohost.Host) mangohost.Host { return h.WithSuccess(now) })
		s.dirty = true
	})
}
