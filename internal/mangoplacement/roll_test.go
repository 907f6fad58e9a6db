package mangoplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// inPlace has replicas of both stages at version 1 and a profile that asks for another version or partition.
func inPlace(replicas int, version string, stages ...uint32) (DesiredState, map[string]HostState) {
	d := desired("k")
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

// Guards against a change in place that takes away the last complete set of replicas, and against one that never ends.
func TestRoll(t *testing.T) {
	tests := []struct {
		name     string
		replicas int
		version  string
		stages   []uint32
		// held is the number of hosts whose orders are still held back in the end.
		held int
		gap  bool
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
			d, states := inPlace(tt.replicas, tt.version, tt.stages...)
			targets, gap, held := assign(d), false, 0
			for range 20 {
				r := newRoll(d, states, targets, now)
				old := &mangomessage.Profile{Model: "m", Version: "1", Layers: 16}
				gap = gap || !r.complete(old, "") && !r.complete(d.Profiles[0], "")
				for _, n := range r.loading {
					is.True(n <= 1)
				}
				// Loads of the round before end first, so that each change is seen half done.
				for h, s := range states {
					if s.Report.GetLoading() != "" {
						s.Report = &mangomessage.EngineState{
							Model: "m", Version: tt.version, FromLayer: targets[h].from, ToLayer: targets[h].to,
						}
						states[h] = s
					}
				}
				held = 0
				for _, o := range Plan(d, states, now) {
					if o.Deferred {
						held++
						continue
					}
					s := states[o.Host.Name]
					s.Report = &mangomessage.EngineState{Loading: tt.version}
					states[o.Host.Name] = s
				}
			}
			is.Equal(gap, tt.gap)
			is.Equal(held, tt.held)
			is.Equal(len(UnconvergedHosts(d, states)), tt.held)
		})
	}
}
