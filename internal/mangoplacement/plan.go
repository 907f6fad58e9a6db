package mangoplacement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Host is a host of the data centre that runs an engine.
type Host struct {
	Name    string
	Address string
	Kind    string
	// Usable is true if the host is live and neither leaving nor drained. Only usable hosts get orders.
	Usable bool
}

// DesiredState has the profiles to serve in one data centre and the engine hosts that can serve them.
type DesiredState struct {
	DataCentre string
	Hosts      []Host
	// Profiles has all completion profiles. One without Stages or without a Place in the data centre causes no orders, but
	// the last complete chain of replicas that serves it is kept.
	Profiles []*mangomessage.Profile
	// MaxLoads bounds the concurrent loads, so that weight downloads stay within the rate of the weights store.
	MaxLoads int
}

// HostState is the last report of the engine on a host, with the time at which it was read.
type HostState struct {
	Report *mangomessage.EngineState
	ReadAt time.Time
	// OrderedAt is the end of the last order that the engine may have accepted and that its report does not show yet.
	OrderedAt time.Time
}

const (
	// maxReportAge is the age above which a report is ignored.
	maxReportAge = 5 * time.Second
	// reportLag is how long after an order the engine counts as loading, whatever it reports.
	reportLag = 3 * time.Second
)

// Order is an order to one host to load a range of layers.
type Order struct {
	Host Host
	// Profile is the name of the profile that requires the order.
	Profile string
	Order   *mangomessage.Order
	Reason  string
	// Deferred is true if the order must not be sent now; Reason then says why.
	Deferred bool
}

// target is the range of layers of a profile's model that a host is assigned, [from, to).
type target struct {
	profile  *mangomessage.Profile
	from, to uint32
}

// Plan returns the orders to send now and the deferred ones, at most one for each host. Hosts that are loading or have no
// report of the last 5 s get none. The same input always gives the same orders.
func Plan(desired DesiredState, states map[string]HostState, now time.Time) []Order {
	targets := assignTargets(desired)
	r := newRollout(desired, states, targets, now)
	hosts := slices.DeleteFunc(slices.Clone(desired.Hosts), func(h Host) bool {
		s, ok := states[h.Name]
		t, wanted := targets[h.Name]
		return !ok || !wanted || !h.Usable || now.Sub(s.ReadAt) > maxReportAge ||
			s.Report.GetLeaving() || s.isLoading(now) || holdsTarget(s.Report, t)
	})
	r.sortByReplicaCount(hosts)
	var orders []Order
	for _, h := range hosts {
		o := loadOrder(h, targets[h.Name], states[h.Name].Report)
		ok, reason := r.mayLoad(h.Name)
		switch {
		case ok:
			r.markLoading(h.Name)
			orders = append(orders, o)
		case reason != "":
			o.Deferred, o.Reason = true, o.Reason+"; "+reason
			orders = append(orders, o)
		}
	}
	return orders
}

// UnconvergedHosts returns the usable hosts whose last report does not show that they hold their target, including hosts
// that are loading or have no report. Their reports should be refreshed before Plan.
func UnconvergedHosts(desired DesiredState, states map[string]HostState) []string {
	targets := assignTargets(desired)
	var names []string
	for _, h := range desired.Hosts {
		t, wanted := targets[h.Name]
		s, ok := states[h.Name]
		if wanted && h.Usable && (!ok || !holdsTarget(s.Report, t)) {
			names = append(names, h.Name)
		}
	}
	return names
}

// isLoading reports whether the engine is loading or was ordered to so recently that its report may not show it yet.
func (s HostState) isLoading(now time.Time) bool {
	return s.Report.GetLoading() != "" || (!s.OrderedAt.IsZero() && now.Sub(s.OrderedAt) < reportLag)
}

// assignTargets returns the target of each host that a profile places in the data centre. The hosts of a profile, sorted
// by name, get its stages in rotation. A host in several profiles goes to the profile that is first by name, so that all
// daemons assign alike.
func assignTargets(desired DesiredState) map[string]target {
	targets := map[string]target{}
	profiles := slices.Clone(desired.Profiles)
	slices.SortFunc(profiles, func(a, b *mangomessage.Profile) int { return cmp.Compare(a.GetName(), b.GetName()) })
	for _, p := range profiles {
		stages := p.GetStages()
		if len(stages) < 2 {
			continue
		}
		for i, h := range placedHosts(p, desired.DataCentre) {
			if _, taken := targets[h]; taken {
				continue
			}
			n := i % (len(stages) - 1)
			targets[h] = target{profile: p, from: stages[n], to: stages[n+1]}
		}
	}
	return targets
}

// placedHosts returns the names of the hosts that a profile places in a data centre, sorted and without duplicates.
func placedHosts(p *mangomessage.Profile, dataCentre string) []string {
	var hosts []string
	for _, place := range p.GetPlaces() {
		if place.GetDataCentre() == dataCentre {
			hosts = append(hosts, place.GetHosts()...)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// holdsTarget reports whether an engine has loaded exactly its target.
func holdsTarget(s *mangomessage.EngineState, t target) bool {
	return s.GetLoading() == "" && s.GetModel() == t.profile.GetModel() && s.GetVersion() == t.profile.GetVersion() &&
		s.GetFromLayer() == t.from && s.GetToLayer() == t.to && slices.Equal(s.GetAdapters(), t.profile.GetAdapters())
}

// loadOrder returns the order that makes a host load its target. Its id is derived from the wanted and the present
// content, so that a repeated order has the same id.
func loadOrder(h Host, t target, s *mangomessage.EngineState) Order {
	p := t.profile
	wanted := fmt.Sprintf("%s/%s%v[%d,%d)", p.GetModel(), p.GetVersion(), p.GetAdapters(), t.from, t.to)
	present := fmt.Sprintf("%s/%s%v[%d,%d)", s.GetModel(), s.GetVersion(), s.GetAdapters(), s.GetFromLayer(), s.GetToLayer())
	return Order{
		Host: h, Profile: p.GetName(),
		Order: &mangomessage.Order{
			Id: h.Name + ":" + wanted + "<" + present, Action: "Load", Model: p.GetModel(), Version: p.GetVersion(),
			Adapters: p.GetAdapters(), FromLayer: t.from, ToLayer: t.to, Role: s.GetRole(),
		},
		Reason: "profile " + p.GetName() + " wants " + wanted + ", host has " + present,
	}
}

// ProfileReady reports whether every stage of a profile is held by a host of the data centre. An alias should be switched
// to the profile only then.
func ProfileReady(p *mangomessage.Profile, dataCentre string, states map[string]HostState) bool {
	stages := p.GetStages()
	for n := 0; n+1 < len(stages); n++ {
		held := slices.ContainsFunc(placedHosts(p, dataCentre), func(h string) bool {
			s, ok := states[h]
			return ok && holdsTarget(s.Report, target{profile: p, from: stages[n], to: stages[n+1]})
		})
		if !held {
			return false
		}
	}
	return true
}
