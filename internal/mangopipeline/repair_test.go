package mangopipeline

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// repairView returns a view of replicas of which those with the given ids are avoided.
func repairView(layers int, replicas []*mangoreplica.Replica, avoided ...string) View {
	health := mangoreplica.NewHealthTracker()
	for _, id := range avoided {
		health.Avoid(mangoreplica.Incarnation{ID: id}, mangoreplica.CauseEnded, time.Hour, time.Unix(0, 0))
	}
	return View{Replicas: replicas, Engine: engine(layers), Status: health, LocalDataCentre: "x", Now: time.Unix(0, 0)}
}

// Guards against repaired paths that leave out or repeat a layer, change kept stages, or name a replica that is lost, leaving,
// avoided, excluded, in the path already or in another data centre, and against a repair that is not found although there is one.
func TestRepairKeepsPathsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 12
		var replicas []*mangoreplica.Replica
		var stages []Stage
		for from := 0; from < layers; {
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			r := replica(fmt.Sprint("used-", from), "x", "a", from, to)
			replicas, stages = append(replicas, r), append(stages, Stage{Replica: r, Layers: r.Layers})
			from = to
		}
		var avoided []string
		for i := range rapid.IntRange(0, 8).Draw(t, "others") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			r := replica(fmt.Sprint("other-", i), rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "centre"), "a", from, rapid.IntRange(from, layers).Draw(t, "end"))
			r.Draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0
			if rapid.IntRange(0, 5).Draw(t, "avoided") == 0 {
				avoided = append(avoided, r.ID)
			}
			replicas = append(replicas, r)
		}
		lost := map[string]bool{}
		for _, s := range stages {
			lost[s.Replica.ID] = rapid.Bool().Draw(t, "lost")
		}
		excluded := fmt.Sprint("other-", rapid.IntRange(0, 8).Draw(t, "excluded"))
		seed := rapid.Uint64().Draw(t, "seed")
		isLost := func(r mangoreplica.Incarnation) bool { return lost[r.ID] }
		usable := func(r *mangoreplica.Replica) bool {
			return !r.Draining && r.DataCentre == "x" && r.ID != excluded && !slices.Contains(avoided, r.ID) && r.ID[0] == 'o'
		}
		chain, err := Repair(repairView(layers, replicas, avoided...), Request{
			Random: rand.New(rand.NewPCG(seed, 1)).Float64, Exclude: func(id string) bool { return id == excluded },
		}, stages, isLost)
		var e *Error
		if errors.As(err, &e) {
			if e.Kind != KindNoChain {
				t.Fatal(err)
			}
			gaps := 0
			for i, s := range stages {
				if lost[s.Replica.ID] && (i == 0 || !lost[stages[i-1].Replica.ID]) {
					gaps++
				}
			}
			if gaps == 1 && !lost[stages[0].Replica.ID] && holdsGap(replicas, stages, lost, usable) {
				t.Fatal("a replacement was not found")
			}
			return
		}
		next := 0
		for _, s := range chain.Stages {
			kept := slices.Contains(stages, s) && !lost[s.Replica.ID]
			if s.Layers.From != next || s.Layers.Len() == 0 || !s.Replica.Layers.Contains(s.Layers) || (!kept && !usable(s.Replica)) {
				t.Fatalf("stage %s of %v, which holds %v, after layer %d", s.Replica.ID, s.Layers, s.Replica.Layers, next)
			}
			next = s.Layers.To
		}
		first := slices.IndexFunc(stages, func(s Stage) bool { return lost[s.Replica.ID] })
		last := len(stages) - 1
		for last > first && !lost[stages[last].Replica.ID] {
			last--
		}
		for i, s := range stages {
			if (i < first || i > last) && !slices.Contains(chain.Stages, s) {
				t.Fatalf("stage %s was not kept", s.Replica.ID)
			}
		}
		ids := chain.IDs()
		slices.Sort(ids)
		if next != layers || len(slices.Compact(ids)) != len(chain.Stages) {
			t.Fatalf("%d layers, stages %v", next, chain.IDs())
		}
	})
}

// Guards against a path that names a replica twice because it holds the layers of two lost stages, and against the replacement of
// more stages than needed.
func TestRepairUsesReplicasOnce(t *testing.T) {
	first, one, two, three := replica("first", "x", "a", 0, 2), replica("1", "x", "a", 2, 4), replica("2", "x", "a", 4, 6), replica("3", "x", "a", 6, 8)
	stages := []Stage{{first, first.Layers}, {one, one.Layers}, {two, two.Layers}, {three, three.Layers}}
	wide, narrow := replica("wide", "x", "a", 2, 8), replica("narrow", "x", "a", 6, 8)
	tests := []struct {
		name   string
		others []*mangoreplica.Replica
		lost   string
		want   []string
	}{
		{"one gap", []*mangoreplica.Replica{wide}, "1", []string{"first", "wide", "2", "3"}},
		{"two gaps, one holder", []*mangoreplica.Replica{wide}, "13", []string{"first", "wide"}},
		{"two gaps, two holders", []*mangoreplica.Replica{wide, narrow}, "13", []string{"first", "wide", "2", "narrow"}},
		{"neighbours", []*mangoreplica.Replica{wide}, "12", []string{"first", "wide", "3"}},
		{"nothing", []*mangoreplica.Replica{wide}, "", []string{"first", "1", "2", "3"}},
		{"no holder", []*mangoreplica.Replica{narrow}, "1", nil},
		{"the first stage", []*mangoreplica.Replica{wide}, "f", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			view := repairView(8, append([]*mangoreplica.Replica{first, one, two, three}, tt.others...))
			chain, err := Repair(view, Request{Random: rand.New(rand.NewPCG(1, 1)).Float64}, stages, func(r mangoreplica.Incarnation) bool {
				return strings.Contains(tt.lost, r.ID[:1])
			})
			is.Equal(err != nil, tt.want == nil)
			if err == nil {
				is.Equal(chain.IDs(), tt.want)
			}
		})
	}
}

// holdsGap reports whether the usable replicas hold each layer of the lost stages.
func holdsGap(replicas []*mangoreplica.Replica, stages []Stage, lost map[string]bool, usable func(r *mangoreplica.Replica) bool) bool {
	for _, s := range stages {
		for l := s.Layers.From; l < s.Layers.To && lost[s.Replica.ID]; l++ {
			if !slices.ContainsFunc(replicas, func(r *mangoreplica.Replica) bool { return usable(r) && r.Layers.From <= l && l < r.Layers.To }) {
				return false
			}
		}
	}
	return true
}

// Guards against all streams of a lost replica going to the same replacement, which reads their prompts one after the other, and
// against replacements that are full.
func TestRepairSpreadsReplacements(t *testing.T) {
	tests := []struct {
		name string
		// tokens are those in use on the two replacements, which hold 44,000, and repairs those that wait there.
		tokens, repairs [2]float64
		// least and most are the bounds of the share of the first replacement.
		least, most float64
	}{
		{"equal ones", [2]float64{}, [2]float64{}, 0.45, 0.55},
		{"the first has three quarters in use", [2]float64{33000, 0}, [2]float64{}, 0.15, 0.25},
		{"the first is full", [2]float64{44000, 0}, [2]float64{}, 0, 0},
		{"the first reads a prompt", [2]float64{}, [2]float64{1, 0}, 0.28, 0.38},
		{"both are full", [2]float64{44000, 44000}, [2]float64{}, -1, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := replica("first", "x", "a", 0, 10)
			lost := replica("lost", "x", "a", 10, 40)
			replicas := []*mangoreplica.Replica{first, lost, replica("one", "x", "a", 10, 40), replica("four", "x", "a", 10, 40)}
			view := repairView(40, replicas, "lost")
			health := mangoreplica.NewHealthTracker()
			health.SetFleetLoad(nil, nil, 1, view.Now)
			health.BeginRequest(tt.tokens[0], "one")
			health.BeginRequest(tt.tokens[1], "four")
			view.Status = health
			stages := []Stage{{first, first.Layers}, {lost, lost.Layers}}
			random := rand.New(rand.NewPCG(3, 4))
			const rounds = 2000
			chosen := 0
			for range rounds {
				chain, err := Repair(view, Request{
					Tokens: 100, Random: random.Float64, Repairs: func(id string) float64 { return tt.repairs[len(id)-3] },
				}, stages, func(r mangoreplica.Incarnation) bool { return r.ID == "lost" })
				if tt.least < 0 {
					is.True(err != nil)
					continue
				}
				is.NoErr(err)
				if chain.Stages[1].Replica.ID == "one" {
					chosen++
				}
			}
			share := float64(chosen) / rounds
			if tt.least >= 0 && (share < tt.least || share > tt.most) {
				t.Errorf("a share of %.2f", share)
			}
		})
	}
}
