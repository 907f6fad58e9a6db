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

// PlacementInput returns what the book asks of the engines of this data centre and what they hold, for the holder of the
// placement lease. Engines that differ are read anew. It returns nothing while the book is not confirmed, since an old
// book would bring engines back to an old profile.
func (c *Controller) PlacementInput(ctx context.Context, maxLoads int) (mangoplacement.DesiredState, map[string]mangoplacement.HostState) {
	if !c.EnsureFresh(ctx) {
		return mangoplacement.DesiredState{}, nil
	}
	desired, states := c.placing(c.Snapshot(), maxLoads)
	c.probeAll(ctx, mangoplacement.UnconvergedHosts(desired, states))
	return c.placing(c.Snapshot(), maxLoads)
}

func (c *Controller) placing(s *Snapshot, maxLoads int) (mangoplacement.DesiredState, map[string]mangoplacement.HostState) {
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
		if h.Engine != nil {
			states[h.Name] = mangoplacement.HostState{Report: h.Engine, ReadAt: h.ProbedAt}
		}
	}
	return desired, states
}

// probeAll reads the state of hosts and returns when their reports are in the snapshot.
func (c *Controller) probeAll(ctx context.Context, names []string) {
	slots := make(chan struct{}, probeParallel)
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

// seekInterval bounds the reads that calls without a chain cause.
const seekInterval = 250 * time.Millisecond

// seek has the hosts read that a profile names and that are not known to hold its version, since a placement or a
// restart may have changed them after the last probe.
func (c *Controller) seek(profile *mangomessage.Profile, view mangochain.View) {
	now := c.now().UnixNano()
	last := c.sought.Load()
	if now-last < int64(seekInterval) || !c.sought.CompareAndSwap(last, now) {
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
