package mangoplacement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Host is an engine host of the data centre.
type Host struct {
	Name    string
	Address string
	Kind    string
	// Usable hosts are live and neither leaving nor drained; only they get orders.
	Usable bool
}

// DesiredState is what the book and the host directory ask for in one data centre.
type DesiredState struct {
	DataCentre string
	Hosts      []Host
	// Profiles of completions that are in force. Those without Stages or without a Place in the data centre get no orders,
	// but a complete set of replicas that serves one is kept.
	Profiles []*mangomessage.Profile
	// MaxLoads bounds the loads at a time, so that weight downloads stay within the rate of the weights store.
	MaxLoads int
}

// HostState is the last report of an engine with the time at which it was read.
type HostState struct {
	Report *mangomessage.EngineState
	ReadAt     time.Time
	// Ordered is the time of the last order that the engine took; its report may lag behind it.
	OrderedAt time.Time
}

const (
	// maxStateAge is the age past which a report is not acted on.
	maxStateAge = 5 * time.Second
	// reportLag is the time after an order for which the engine counts as loading whatever its report says.
	reportLag = 3 * time.Second
)

// Order is an order to one host.
type Order struct {
	Host Host
	// Profile that asks for the order.
	Profile string
	Order   *mangomessage.Order
	Reason  string
	// Held orders are not to be sent; Reason says what is in the way.
	Deferred bool
}

// target is the range that a host is to hold.
type target struct {
	profile  *mangomessage.Profile
	from, to uint32
}

// Plan returns the orders to give now, at most one for each host, and those that are held back. Hosts without a fresh
// report, and those that are loading, get none. Repeating a plan on the same state gives the same orders.
func Plan(desired DesiredState, states map[string]HostState, now time.Time) []Order {
	targets := assign(desired)
	r := newRoll(desired, states, targets, now)
	hosts := slices.DeleteFunc(slices.Clone(desired.Hosts), func(h Host) bool {
		s, ok := states[h.Name]
		t, wanted := targets[h.Name]
		return !ok || !wanted || !h.Usable || now.Sub(s.ReadAt) > maxStateAge ||
			s.Report.GetLeaving() || s.loading(now) || holds(s.Report, t)
	})
	r.order(hosts)
	var orders []Order
	for _, h := range hosts {
		o := load(h, targets[h.Name], states[h.Name].Report)
		ok, held := r.allows(h.Name)
		switch {
		case ok:
			r.start(h.Name)
			orders = append(orders, o)
		case held != "":
			o.Deferred, o.Reason = true, o.Reason+"; "+held
			orders = append(orders, o)
		}
	}
	return orders
}

// UnconvergedHosts returns the hosts that do not hold what they are to hold, as far as is known, or load. Their reports should
// be read anew before a plan.
func UnconvergedHosts(desired DesiredState, states map[string]HostState) []string {
	targets := assign(desired)
	var names []string
	for _, h := range desired.Hosts {
		t, wanted := targets[h.Name]
		s, ok := states[h.Name]
		if wanted && h.Usable && (!ok || !holds(s.Report, t)) {
			names = append(names, h.Name)
		}
	}
	return names
}

func (s HostState) loading(now time.Time) bool {
	return s.Report.GetLoading() != "" || (!s.OrderedAt.IsZero() && now.Sub(s.OrderedAt) < reportLag)
}

// assign gives each host of a place a stage of its profile: the hosts in order of name take the stages in turn. A host
// in several profiles goes to the one whose name comes first, so that all daemons agree.
func assign(desired DesiredState) map[string]target {
	targets := map[string]target{}
	profiles := slices.Clone(desired.Profiles)
	slices.SortFunc(profiles, func(a, b *mangomessage.Profile) int { return cmp.Compare(a.GetName(), b.GetName()) })
	for _, p := range profiles {
		stages := p.GetStages()
		if len(stages) < 2 {
			continue
		}
		for i, h := range places(p, desired.DataCentre) {
			if _, taken := targets[h]; taken {
				continue
			}
			n := i % (len(stages) - 1)
			targets[h] = target{profile: p, from: stages[n], to: stages[n+1]}
		}
	}
	return targets
}

func places(p *mangomessage.Profile, dataCentre string) []string {
	var hosts []string
	for _, place := range p.GetPlaces() {
		if place.GetDataCentre() == dataCentre {
			hosts = append(hosts, place.GetHosts()...)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

func holds(s *mangomessage.EngineState, t target) bool {
	return s.GetLoading() == "" && s.GetModel() == t.profile.GetModel() && s.GetVersion() == t.profile.GetVersion() &&
		s.GetFromLayer() == t.from && s.GetToLayer() == t.to && slices.Equal(s.GetAdapters(), t.profile.GetAdapters())
}

// load returns the order for a target; its id is derived from both states, so that a repeated order is harmless.
func load(h Host, t target, s *mangomessage.EngineState) Order {
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

// ProfileReady reports whether every stage of a profile is held in the data centre, as the switch of an alias waits for it.
func ProfileReady(p *mangomessage.Profile, dataCentre string, states map[string]HostState) bool {
	stages := p.GetStages()
	for n := 0; n+1 < len(stages); n++ {
		held := slices.ContainsFunc(places(p, dataCentre), func(h string) bool {
			s, ok := states[h]
			return ok && holds(s.Report, target{profile: p, from: stages[n], to: stages[n+1]})
		})
		if !held {
			return false
		}
	}
	return true
}
