package mangoplacement

import (
	"cmp"
	"slices"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// stage is a range of layers of a profile.
type stage struct {
	profile  string
	from, to uint32
}

func (t target) stage() stage { return stage{t.profile.GetName(), t.from, t.to} }

// roll decides which hosts may change their layers now, so that what serves is not taken away before its successor is
// there.
type roll struct {
	desired DesiredState
	targets map[string]target
	// serving has the reports of the usable hosts that hold layers and do not load.
	serving map[string]*mangomessage.EngineState
	// held and loading count the hosts of a stage that hold it and those that load it.
	held    map[stage]int
	loading map[stage]int
	loads   int
}

func newRoll(desired DesiredState, states map[string]HostState, targets map[string]target, now time.Time) *roll {
	r := &roll{
		desired: desired, targets: targets, serving: map[string]*mangomessage.EngineState{},
		held: map[stage]int{}, loading: map[stage]int{},
	}
	for h, s := range states {
		if t, wanted := targets[h]; s.loading(now) && (!wanted || !holds(s.Report, t)) {
			r.loads++
		}
	}
	for _, h := range desired.Hosts {
		s, ok := states[h.Name]
		if !ok || !h.Usable || s.Report.GetLeaving() || now.Sub(s.ReadAt) > maxStateAge {
			continue
		}
		t, wanted := targets[h.Name]
		switch {
		case wanted && holds(s.Report, t):
			r.held[t.stage()]++
		case s.loading(now):
			if wanted {
				r.loading[t.stage()]++
			}
			continue
		}
		if s.Report.GetToLayer() > s.Report.GetFromLayer() {
			r.serving[h.Name] = s.Report
		}
	}
	return r
}

// order sorts hosts so that stages that fewest replicas hold or load come first, which completes a chain soonest.
func (r *roll) order(hosts []Host) {
	slices.SortStableFunc(hosts, func(a, b Host) int {
		return cmp.Compare(r.replicas(r.targets[a.Name].stage()), r.replicas(r.targets[b.Name].stage()))
	})
}

func (r *roll) replicas(s stage) int { return r.held[s] + r.loading[s] }

// allows reports whether a host may load its target now; reason says why not when it has to wait for operators.
func (r *roll) allows(host string) (ok bool, reason string) {
	if r.loads >= r.desired.MaxLoads {
		return false, ""
	}
	present, t := r.serving[host], r.targets[host]
	if present == nil {
		return true, ""
	}
	if r.loading[t.stage()] > 0 {
		return false, ""
	}
	for _, p := range r.desired.Profiles {
		if serves(present, p) && r.complete(p, "") && !r.complete(p, host) {
			return false, "the last complete set of replicas of profile " + p.GetName() + " needs this host"
		}
	}
	if r.spare(host) {
		return true, ""
	}
	// The content serves no profile any more and only running calls use it. It is kept until the new version has a
	// complete set, unless this host is the only way to get one.
	return r.complete(t.profile, "") || (r.held[t.stage()] == 0 && !r.hasSpare(t.stage())), ""
}

// start notes that a host loads its target from now on.
func (r *roll) start(host string) {
	delete(r.serving, host)
	r.loading[r.targets[host].stage()]++
	r.loads++
}

// spare reports whether the replicas of a host's present content form no complete chain, or one without the host too.
func (r *roll) spare(host string) bool {
	present := r.serving[host]
	// The number of layers is known from profiles only; without one, the highest boundary that is held stands for it.
	content := &mangomessage.Profile{Model: present.GetModel(), Version: present.GetVersion(), Adapters: present.GetAdapters()}
	for _, s := range r.serving {
		if serves(s, content) {
			content.Layers = max(content.GetLayers(), s.GetToLayer())
		}
	}
	return !r.complete(content, "") || r.complete(content, host)
}

// hasSpare reports whether another host of a stage could load it without breaking a complete chain.
func (r *roll) hasSpare(s stage) bool {
	for host, t := range r.targets {
		if t.stage() == s && r.serving[host] != nil && !holds(r.serving[host], t) && r.spare(host) {
			return true
		}
	}
	return false
}

// complete reports whether the serving replicas of a profile's content, but for one host, form a chain.
func (r *roll) complete(p *mangomessage.Profile, without string) bool {
	var ranges []*mangomessage.EngineState
	for host, s := range r.serving {
		if host != without && serves(s, p) {
			ranges = append(ranges, s)
		}
	}
	slices.SortFunc(ranges, func(a, b *mangomessage.EngineState) int { return cmp.Compare(a.GetFromLayer(), b.GetFromLayer()) })
	reached := map[uint32]bool{0: true}
	for _, s := range ranges {
		if reached[s.GetFromLayer()] {
			reached[s.GetToLayer()] = true
		}
	}
	return reached[p.GetLayers()]
}

// serves reports whether a report is of the model, version and adapters of a profile.
func serves(s *mangomessage.EngineState, p *mangomessage.Profile) bool {
	return s.GetModel() == p.GetModel() && s.GetVersion() == p.GetVersion() && slices.Equal(s.GetAdapters(), p.GetAdapters())
}
