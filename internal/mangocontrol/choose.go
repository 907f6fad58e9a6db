package mangocontrol

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangodispatch"
	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Choose chooses a chain of replicas from the present snapshot, logs the decision and counts the call as in flight on
// them until the assignment is released. A request that may crash upstreams waits for replicas that run no other such
// request.
func (c *Controller) Choose(ctx context.Context, request mangochain.Request, _ bool) (mangocall.Assignment, error) {
	if c.crashTracker != nil && c.crashTracker.Check(request.Fingerprint, c.now()) != mangocrash.Clear {
		return c.chooseForSuspect(ctx, request)
	}
	return c.chooseChain(request)
}

// chooseChain chooses the cheapest chain without regard to crashes. When there is none, it has the profile's hosts probed.
func (c *Controller) chooseChain(request mangochain.Request) (mangocall.Assignment, error) {
	s := c.Snapshot()
	request.InFlight = c.meter.InFlight
	request.Seed = rand.Uint64()
	view := s.View(request.Profile)
	chain, err := mangochain.Choose(view, request)
	if err != nil {
		c.logger.WithFields(logrus.Fields{
			"event": "route", "call": request.CallID, "customer": request.Customer, "profile": request.Profile.Name,
			"revision": s.Book.Revision(), "replicas": len(view.Replicas),
		}).WithError(err).Warn("no chain of replicas serves the profile")
		c.probeListedHosts(request.Profile, view)
		return mangocall.Assignment{}, &Error{Op: "choose", Kind: KindNoReplica, Err: err}
	}
	c.logChain(s, request, chain)
	for _, stage := range chain.Stages {
		c.meter.AddInFlight(stage.Replica.Host, 1)
	}
	return mangocall.Assignment{Chain: chain, Release: sync.OnceFunc(func() {
		for _, stage := range chain.Stages {
			c.meter.AddInFlight(stage.Replica.Host, -1)
		}
	})}, nil
}

// logChain logs the chosen chain with its costs.
func (c *Controller) logChain(s *Snapshot, request mangochain.Request, chain mangochain.Chain) {
	if !c.logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	hosts := make([]string, len(chain.Stages))
	costs := make([]string, len(chain.Stages))
	for i, stage := range chain.Stages {
		hosts[i] = stage.Replica.Host
		costs[i] = stage.Cost.Round(time.Microsecond).String()
	}
	c.logger.WithFields(logrus.Fields{
		"event": "route", "call": request.CallID, "customer": request.Customer, "profile": request.Profile.Name,
		"version": request.Profile.Version, "revision": s.Book.Revision(), "chain": strings.Join(hosts, ","),
		"costs": strings.Join(costs, ","), "cost": chain.Cost.Round(time.Microsecond).String(), "reason": chain.Reason, "seed": request.Seed,
	}).Info("chain chosen")
}

// Usable returns the replicas of a plain service that may get calls. It returns ejected replicas only when there are no
// others.
func (c *Controller) Usable(profile *mangomessage.Profile) []mangodispatch.Replica {
	s := c.Snapshot()
	var usable, ejected []mangodispatch.Replica
	for _, place := range profile.Places {
		for _, name := range place.Hosts {
			h, ok := s.Directory.Host(name)
			if !ok || h.Role != mangohost.RoleService {
				continue
			}
			r := mangodispatch.Replica{Host: h.Name, Address: h.Address, PeerInFlight: s.PeerInFlight[h.Name], Remote: h.DataCentre != c.identity.DataCentre}
			switch h.State(s.TakenAt) {
			case mangohost.StateLive:
				usable = append(usable, r)
			case mangohost.StateEjected:
				ejected = append(ejected, r)
			case mangohost.StateLeaving, mangohost.StateUnprobed:
			}
		}
	}
	if len(usable) > 0 {
		return usable
	}
	return ejected
}
