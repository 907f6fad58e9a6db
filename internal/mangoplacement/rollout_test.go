package mangoplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// servingVersion1 returns a state in which replicas of two stages serve version 1, and a desired state whose profile asks
// for the given version and stages on the same hosts.
func servingVersion1(replicas int, version string, stages ...uint32) (DesiredState, map[string]HostState) {
	d := desiredState("k")
	d.Hosts, d.Profiles[0].Version, d.Profiles[0].Stages, d.Profiles[0].Layers = nil, version, stages, 16
	d.Profiles[0].Places[0].Hosts = nil
	states := map[string]HostState{}
	for i := range 2 * replicas {
		name, from := string(rune('a'+i)), uint32(i%2*8)
		d.Hosts = append(d.Hosts, Host{Name: name, Usable: true})
		d.Profiles[0].Places[0].Hosts = append(d.Profiles[0].Places[0].Hosts, name)
		states[name] = HostState{ReadAt: time.Unix(1000, 0), Report: &mangomessage.EngineState{
			Model: "m", Version: "1", FromLayer: from, ToLayer: from + 8,
		}}
	}
	return d, states
}

// Guards against a rollout on the same hosts that unloads the last complete chain of replicas, and one that never ends.
func TestRolloutKeepsLastCompleteChain(t *testing.T) {
	tests := []struct {
		name     string
		replicas int
		version  string
		stages   []uint32
		// deferred is the number of orders that are still deferred in the end; gap means that at some time no version has a
		// complete chain.
		deferred int
		gap      bool
	}{
		{"new version, two replicas", 2, "2", []uint32{0, 8, 16}, 0, false},
		{"new version, three replicas", 3, "2", []uint32{0, 8, 16}, 0, false},
		{"new version, no other replica", 1, "2", []uint32{0, 8, 16}, 0, true},
		{"new partition, two replicas", 2, "1", []uint32{0, 4, 16}, 0, false},
		{"new partition, no other replica", 1, "1", []uint32{0, 4, 16}, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is, now := is.New(t), time.Unix(1000, 0)
			d, states := servingVersion1(tt.replicas, tt.version, tt.stages...)
			targets, gap, deferred := assignTargets(d), false, 0
			for range 20 {
				r := newRollout(d, states, targets, now)
				old := &mangomessage.Profile{Model: "m", Version: "1", Layers: 16}
				gap = gap || !r.hasCompleteChain(old, "") && !r.hasCompleteChain(d.Profiles[0], "")
				for _, n := range r.loadingCounts {
					is.True(n <= 1)
				}
				// Loads of the previous round end only now, so that each round is checked with loads in progress.
				for h, s := range states {
					if s.Report.GetLoading() != "" {
						s.Report = &mangomessage.EngineState{
							Model: "m", Version: tt.version, FromLayer: targets[h].from, ToLayer: targets[h].to,
						}
						states[h] = s
					}
				}
				deferred = 0
				for _, o := range Plan(d, states, now) {
					if o.Deferred {
						deferred++
						continue
					}
					s := states[o.Host.Name]
					s.Report = &mangomessage.EngineState{Loading: tt.version}
					states[o.Host.Name] = s
				}
			}
			is.Equal(gap, tt.gap)
			is.Equal(deferred, tt.deferred)
			is.Equal(len(UnconvergedHosts(d, states)), tt.deferred)
		})
	}
}
