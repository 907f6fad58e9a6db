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

// StepDone records the load that the reply to a step states and, for a step of one position, its time.
func (c *Controller) StepDone(host string, took time.Duration, count int, result *mangomessage.StepResult) {
	if count == 1 {
		c.meter.AddStepTime(host, took)
	}
	c.meter.SetReportedLoad(host, int(result.Running+result.Waiting), c.now())
	if result.Leaving {
		c.RequestProbe(host)
	}
}

// RequestProbe requests a probe of an upstream at once, for instance because it refused a call. The request is dropped
// when too many are waiting.
func (c *Controller) RequestProbe(host string) {
	select {
	case c.probeRequests <- host:
	default:
	}
}

// Failed records a failure of a host, which may eject it. A refusal or an unknown call state is no failure; the host is
// then probed.
func (c *Controller) Failed(host string, err error) {
	var upstream *mangoupstream.Error
	if errors.As(err, &upstream) && (upstream.Kind == mangoupstream.KindRefused || upstream.Kind == mangoupstream.KindNoState) {
		c.RequestProbe(host)
		return
	}
	now := c.now()
	c.tryApply(func(s *state) {
		s.directory = s.directory.With(host, func(h mangohost.Host) mangohost.Host { return h.WithFailure(now) })
		s.viewsStale = true
	})
	c.logger.WithFields(logrus.Fields{"event": "upstream_failed", "host": host}).WithError(err).Warn("request to upstream failed")
}

// EnginesProbed reports whether this daemon knows the engines for its profiles: the host list has arrived and every
// engine on it has answered a probe. It is true when there are no profiles.
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
	return s.Directory.ListAsOfMs() > 0
}

// PoolCapacities returns the number of calls that each pool can run at once, without the pools that can run none. It
// builds views anew, since cached views lag behind the probes that an entry host makes at its start.
func (c *Controller) PoolCapacities() map[string]int {
	s := c.Snapshot()
	capacities := map[string]int{}
	for _, e := range s.Book.Entries("Profile") {
		profile := e.GetProfile()
		if profile.GetKind() != KindCompletion {
			continue
		}
		if n := mangochain.Capacity(s.buildView(profile), profile); n > 0 {
			capacities[PoolName(profile)] = n
		}
	}
	return capacities
}

// Leaving reports whether a host is leaving, so that running calls have to move to another one.
func (c *Controller) Leaving(host string) bool {
	s := c.Snapshot()
	return s.Directory.Leaving(host, s.TakenAt)
}

// Succeeded records that a service replica answered, which ends its ejection.
func (c *Controller) Succeeded(host string) {
	if h, ok := c.Snapshot().Directory.Host(host); !ok || h.Failures == 0 {
		return
	}
	now := c.now()
	c.tryApply(func(s *state) {
		s.directory = s.directory.With(host, func(h mangohost.Host) mangohost.Host { return h.WithSuccess(now) })
		s.viewsStale = true
	})
}
