package mangoplacement

import (
	"cmp"
	"slices"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// stage is the range of layers [from, to) of a profile's model that one host serves.
type stage struct {
	profile  string
	from, to uint32
}

func (t target) stage() stage { return stage{t.profile.GetName(), t.from, t.to} }

// rollout decides which hosts may load their target now, so that serving layers are not unloaded before their replacement
// is loaded.
type rollout struct {
	desired DesiredState
	targets map[string]target
	// serving has the reports of the usable hosts that hold layers and are not loading.
	serving map[string]*mangomessage.EngineState
	// holderCounts and loadingCounts have, for each stage, the number of hosts that hold it or are loading it.
	holderCounts  map[stage]int
	loadingCounts map[stage]int
	// runningLoads is the number of loads in progress, which MaxLoads bounds.
	runningLoads int
}

func newRollout(desired DesiredState, states map[string]HostState, targets map[string]target, now time.Time) *rollout {
	r := &rollout{
		desired: desired, targets: targets, serving: map[string]*mangomessage.EngineState{},
		holderCounts: map[stage]int{}, loadingCounts: map[stage]int{},
	}
	for h, s := range states {
		if t, wanted := targets[h]; s.isLoading(now) && (!wanted || !holdsTarget(s.Report, t)) {
			r.runningLoads++
		}
	}
	for _, h := range desired.Hosts {
		s, ok := states[h.Name]
		if !ok || !h.Usable || s.Report.GetLeaving() || now.Sub(s.ReadAt) > maxReportAge {
			continue
		}
		t, wanted := targets[h.Name]
		switch {
		case wanted && holdsTarget(s.Report, t):
			r.holderCounts[t.stage()]++
		case s.isLoading(now):
			if wanted {
				r.loadingCounts[t.stage()]++
			}
			continue
		}
		if s.Report.GetToLayer() > s.Report.GetFromLayer() {
			r.serving[h.Name] = s.Report
		}
	}
	return r
}

// sortByReplicaCount sorts hosts by how few replicas hold or load their stage, fewest first, which completes a chain
// soonest.
func (r *rollout) sortByReplicaCount(hosts []Host) {
	slices.SortStableFunc(hosts, func(a, b Host) int {
		return cmp.Compare(r.replicaCount(r.targets[a.Name].stage()), r.replicaCount(r.targets[b.Name].stage()))
	})
}

func (r *rollout) replicaCount(s stage) int { return r.holderCounts[s] + r.loadingCounts[s] }

// mayLoad reports whether a host may load its target now. It gives a reason only if the last complete chain of a profile
// needs the host, which may need an operator; other waits end by themselves.
func (r *rollout) mayLoad(host string) (ok bool, reason string) {
	if r.runningLoads >= r.desired.MaxLoads {
		return false, ""
	}
	present, t := r.serving[host], r.targets[host]
	if present == nil {
		return true, ""
	}
	if r.loadingCounts[t.stage()] > 0 {
		return false, ""
	}
	for _, p := range r.desired.Profiles {
		if sameContent(present, p) && r.hasCompleteChain(p, "") && !r.hasCompleteChain(p, host) {
			return false, "the last complete chain of replicas of profile " + p.GetName() + " needs this host"
		}
	}
	if r.isRedundant(host) {
		return true, ""
	}
	// No profile uses the content of this host any more, only running calls do. It is kept until the new content has a
	// complete chain, unless only this host can complete that chain.
	return r.hasCompleteChain(t.profile, "") || (r.holderCounts[t.stage()] == 0 && !r.hasRedundantHost(t.stage())), ""
}

// markLoading records that a host starts to load its target and no longer serves.
func (r *rollout) markLoading(host string) {
	delete(r.serving, host)
	r.loadingCounts[r.targets[host].stage()]++
	r.runningLoads++
}

// isRedundant reports whether a host can be unloaded without breaking a complete chain: the replicas of its content form
// none anyway, or still form one without it.
func (r *rollout) isRedundant(host string) bool {
	present := r.serving[host]
	// The number of layers is in profiles only. The content may have none any more, so the highest layer boundary that any
	// replica holds is used instead.
	content := &mangomessage.Profile{Model: present.GetModel(), Version: present.GetVersion(), Adapters: present.GetAdapters()}
	for _, s := range r.serving {
		if sameContent(s, content) {
			content.Layers = max(content.GetLayers(), s.GetToLayer())
		}
	}
	return !r.hasCompleteChain(content, "") || r.hasCompleteChain(content, host)
}

// hasRedundantHost reports whether any host assigned to a stage could load it without breaking a complete chain.
func (r *rollout) hasRedundantHost(s stage) bool {
	for host, t := range r.targets {
		if t.stage() == s && r.serving[host] != nil && !holdsTarget(r.serving[host], t) && r.isRedundant(host) {
			return true
		}
	}
	return false
}

// hasCompleteChain reports whether the serving replicas of a profile's content, without those of the excluded host, cover
// all its layers with adjoining ranges.
func (r *rollout) hasCompleteChain(p *mangomessage.Profile, excluded string) bool {
	var ranges []*mangomessage.EngineState
	for host, s := range r.serving {
		if host != excluded && sameContent(s, p) {
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

// sameContent reports whether an engine holds the model, version and adapters of a profile, whatever the layers.
func sameContent(s *mangomessage.EngineState, p *mangomessage.Profile) bool {
	return s.GetModel() == p.GetModel() && s.GetVersion() == p.GetVersion() && slices.Equal(s.GetAdapters(), p.GetAdapters())
}
