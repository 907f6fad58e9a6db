package mangocontrol

import (
	"context"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/internal/mangoplacement"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// PlacementInput returns what the engines of this data centre should hold by the book and what they hold, for the
// holder of the placement lease. Engines where the two differ are probed first. It returns nothing while the book is
// not confirmed, since an outdated book would return engines to an old profile.
func (c *Controller) PlacementInput(ctx context.Context, maxLoads int) (mangoplacement.DesiredState, map[string]mangoplacement.HostState) {
	if !c.EnsureFresh(ctx) {
		return mangoplacement.DesiredState{}, nil
	}
	desired, states := c.placementInput(c.Snapshot(), maxLoads)
	c.probeHosts(ctx, mangoplacement.UnconvergedHosts(desired, states))
	return c.placementInput(c.Snapshot(), maxLoads)
}

// placementInput returns the desired and the present state of the engines of this data centre in a snapshot.
func (c *Controller) placementInput(s *Snapshot, maxLoads int) (mangoplacement.DesiredState, map[string]mangoplacement.HostState) {
	desired := mangoplacement.DesiredState{DataCentre: c.identity.DataCentre, MaxLoads: maxLoads}
	states := map[string]mangoplacement.HostState{}
	for _, e := range s.Book.Entries("Profile") {
		if p := e.GetProfile(); p.GetKind() == KindCompletion {
			desired.Profiles = append(desired.Profiles, p)
		}
	}
	for _, h := range s.Directory.Hosts(mangohost.RoleEngine) {
		if h.DataCentre != c.identity.DataCentre {
			continue
		}
		state := h.State(s.TakenAt)
		desired.Hosts = append(desired.Hosts, mangoplacement.Host{
			Name: h.Name, Address: h.Address, Kind: h.Kind,
			Usable: state == mangohost.StateLive || state == mangohost.StateUnprobed,
		})
		if h.Report != nil {
			states[h.Name] = mangoplacement.HostState{Report: h.Report, ReadAt: h.ProbedAt}
		}
	}
	return desired, states
}

// probeHosts probes hosts and returns when their reports are in the published snapshot.
func (c *Controller) probeHosts(ctx context.Context, names []string) {
	slots := make(chan struct{}, maxParallelProbes)
	var group sync.WaitGroup
	for _, name := range names {
		h, ok := c.Snapshot().Directory.Host(name)
		if !ok {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			c.probeHost(ctx, h)
		})
	}
	group.Wait()
	if len(names) > 0 {
		_ = c.apply(ctx, func(*state) {})
	}
}

// noChainProbeInterval is the least time between two rounds of probes that calls without a chain cause.
const noChainProbeInterval = 250 * time.Millisecond

// probeListedHosts requests probes of the hosts that a profile names and that are not in the view of its replicas. A
// placement or a restart may have changed their content since the last probe.
func (c *Controller) probeListedHosts(profile *mangomessage.Profile, view mangochain.View) {
	now := c.now().UnixNano()
	last := c.noChainProbedAt.Load()
	if now-last < int64(noChainProbeInterval) || !c.noChainProbedAt.CompareAndSwap(last, now) {
		return
	}
	known := map[string]bool{}
	for _, r := range view.Replicas {
		known[r.Host] = true
	}
	for _, place := range profile.GetPlaces() {
		for _, host := range place.GetHosts() {
			if !known[host] {
				c.RequestProbe(host)
			}
		}
	}
}
