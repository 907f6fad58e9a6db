package mangopipeline

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// engine returns a model with fast accelerators of kind a and slow, small ones of kind b.
func engine(layers int) *mangoroute.Engine {
	return &mangoroute.Engine{
		Layers: layers, LayerMB: 1750, TokenBytes: 590000, StepMS: 0.85,
		Accelerators: map[string]mangoroute.Accelerator{"a": {MemoryMB: 72000, StepFactor: 1}, "b": {MemoryMB: 36000, StepFactor: 9}},
	}
}

// noJitter stands in for Request.Random and makes costs exact.
func noJitter() float64 { return 0 }

func replica(id, dataCentre, accelerator string, from, to int) *mangoreplica.Replica {
	return &mangoreplica.Replica{
		ID: id, Address: id, DataCentre: dataCentre, Accelerator: accelerator, Layers: mangoreplica.LayerRange{From: from, To: to},
	}
}

// enumerateCheapest returns the cost of the cheapest chain in one data centre from a layer to the end by trying all chains.
func enumerateCheapest(
	replicas []*mangoreplica.Replica, dataCentre string, from, layers int, cost func(*mangoreplica.Replica, mangoreplica.LayerRange) float64,
) (float64, bool) {
	if from >= layers {
		return 0, true
	}
	best, found := 0.0, false
	for _, r := range replicas {
		if r.DataCentre != dataCentre || r.Layers.From > from || r.Layers.To <= from {
			continue
		}
		stage := mangoreplica.LayerRange{From: from, To: min(r.Layers.To, layers)}
		if rest, ok := enumerateCheapest(replicas, dataCentre, stage.To, layers, cost); ok && (!found || cost(r, stage)+rest < best) {
			best, found = cost(r, stage)+rest, true
		}
	}
	return best, found
}

// enumerateRedundant returns the ids of the replicas of a data centre that can be removed one by one, those with the fewest
// layers first, while every layer keeps a holder.
func enumerateRedundant(replicas []*mangoreplica.Replica, dataCentre string) map[string]bool {
	var kept []*mangoreplica.Replica
	for _, r := range replicas {
		if r.DataCentre == dataCentre && r.Layers.Len() > 0 {
			kept = append(kept, r)
		}
	}
	bySize := slices.Clone(kept)
	slices.SortFunc(bySize, func(a, b *mangoreplica.Replica) int {
		return cmp.Or(cmp.Compare(a.Layers.Len(), b.Layers.Len()), cmp.Compare(a.ID, b.ID))
	})
	redundant := map[string]bool{}
	for _, r := range bySize {
		others := slices.DeleteFunc(slices.Clone(kept), func(o *mangoreplica.Replica) bool { return o == r })
		needed := false
		for l := r.Layers.From; l < r.Layers.To; l++ {
			needed = needed || !slices.ContainsFunc(others, func(o *mangoreplica.Replica) bool { return o.Layers.From <= l && l < o.Layers.To })
		}
		if !needed {
			redundant[r.ID] = true
			kept = others
		}
	}
	return redundant
}

// Guards against chains that skip or repeat a layer, cross data centres, or cost more than the cheapest of all possible
// chains.
func TestChooseMatchesEnumeration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 12).Draw(t, "layers")
		var replicas []*mangoreplica.Replica
		health, running := mangoreplica.NewHealthTracker(), map[string]int{}
		for i := range rapid.IntRange(0, 7).Draw(t, "replicas") {
			from := rapid.IntRange(0, layers).Draw(t, "from")
			r := replica(
				fmt.Sprint(i), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "centre"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"),
				from, rapid.IntRange(from, layers).Draw(t, "to"),
			)
			r.Slots = rapid.IntRange(0, 4).Draw(t, "slots")
			replicas, running[r.ID] = append(replicas, r), rapid.IntRange(0, 5).Draw(t, "running")
			for range running[r.ID] {
				health.BeginRequest(0, r.ID)
			}
		}
		e := engine(layers)
		view := View{Replicas: replicas, Engine: e, Status: health, LocalDataCentre: "x", Now: time.Unix(0, 0)}
		redundant := enumerateRedundant(replicas, "x")
		maps.Copy(redundant, enumerateRedundant(replicas, "y"))
		cost := func(r *mangoreplica.Replica, stage mangoreplica.LayerRange) float64 {
			c := estimateCost(view, Request{Random: noJitter}, r, nil).costPerLayer*float64(stage.Len()) + float64(hopCost)
			if stage.From == 0 && r.Slots > 0 {
				share := float64(running[r.ID]+1) / float64(r.Slots)
				c += share / (1 - min(share, 0.97)) * float64(redundantCost)
			}
			if redundant[r.ID] {
				c += float64(redundantCost)
			}
			return c
		}
		chain, err := Choose(view, Request{Random: noJitter})
		want, found := time.Duration(math.MaxInt64), false
		for _, centre := range []string{"x", "y"} {
			lowest, ok := enumerateCheapest(replicas, centre, 0, layers, cost)
			if !ok {
				continue
			}
			if centre != view.LocalDataCentre {
				lowest += float64(remoteCost)
			}
			alone := view
			alone.Replicas = slices.DeleteFunc(slices.Clone(replicas), func(r *mangoreplica.Replica) bool { return r.DataCentre != centre })
			c, err := Choose(alone, Request{Random: noJitter})
			if err != nil {
				t.Fatal(err)
			}
			total := c.Cost
			for _, s := range c.Stages {
				if redundant[s.Replica.ID] {
					total += redundantCost // It decides within a data centre only.
				}
			}
			if float64(total) > lowest+2 || float64(total) < lowest-2 {
				t.Fatalf("the chain of %s costs %v; the cheapest costs %v", centre, total, time.Duration(lowest))
			}
			want, found = min(want, c.Cost), true
		}
		if (err == nil) != found {
			t.Fatalf("chain found: %v; found by enumeration: %v", err == nil, found)
		}
		if err != nil {
			return
		}
		nextLayer := 0
		for _, s := range chain.Stages {
			if s.Layers.From != nextLayer || s.Replica.DataCentre != chain.DataCentre || !s.Replica.Layers.Contains(s.Layers) {
				t.Fatalf("stage %v of %s does not continue at layer %d", s.Layers, s.Replica.ID, nextLayer)
			}
			nextLayer = s.Layers.To
		}
		if nextLayer != layers || chain.Cost != want {
			t.Fatalf("the chain ends at layer %d and costs %v; the cheaper data centre costs %v", nextLayer, chain.Cost, want)
		}
	})
}

// Guards against requests on redundant replicas, which then cannot take over lost layers before these requests have ended,
// and against a redundant replica that stays idle while the only other holder is full or lost.
func TestRedundantReplicasStayFree(t *testing.T) {
	now := time.Unix(100, 0)
	first, second := replica("first", "x", "b", 0, 5), replica("second", "x", "b", 5, 8)
	// Both hold the same layers; the first in the order of ids counts as redundant.
	redundant := replica("copy", "x", "b", 0, 5)
	tests := []struct {
		name  string
		lost  string
		share float64
		want  string
	}{
		{"low load", "", 0.1, "first>second"},
		{"the other holder is nearly full", "", 0.95, "copy>second"},
		{"the other holder is lost", "first", 0, "copy>second"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			health := mangoreplica.NewHealthTracker()
			e := engine(8)
			health.BeginRequest(tt.share*e.TokenCapacity("b", 5), "first")
			replicas := []*mangoreplica.Replica{second, redundant}
			if tt.lost == "" {
				replicas = append(replicas, first)
			}
			chain, err := Choose(View{Replicas: replicas, Engine: e, Status: health, LocalDataCentre: "x", Now: now}, Request{Random: noJitter})
			is.NoErr(err)
			is.Equal(strings.Join(chain.IDs(), ">"), tt.want)
		})
	}
}

// Guards against chains through replicas that drain or failed a moment ago, and against refusing a request while avoided
// replicas could still serve it.
func TestChooseAvoids(t *testing.T) {
	now := time.Unix(100, 0)
	whole, draining := replica("whole", "x", "a", 0, 8), replica("draining", "x", "a", 0, 8)
	draining.Draining = true
	slow := replica("slow", "x", "b", 0, 8)
	tests := []struct {
		name     string
		replicas []*mangoreplica.Replica
		avoid    []*mangoreplica.Replica
		exclude  map[string]bool
		want     string
	}{
		{name: "the fastest is chosen", replicas: []*mangoreplica.Replica{slow, whole}, want: "whole"},
		{name: "a draining one is skipped", replicas: []*mangoreplica.Replica{slow, draining}, want: "slow"},
		{name: "an avoided one is skipped", replicas: []*mangoreplica.Replica{slow, whole}, avoid: []*mangoreplica.Replica{whole}, want: "slow"},
		{name: "an avoided one is the last resort", replicas: []*mangoreplica.Replica{whole}, avoid: []*mangoreplica.Replica{whole}, want: "whole"},
		{name: "an excluded one is skipped", replicas: []*mangoreplica.Replica{slow, whole}, exclude: map[string]bool{"whole": true}, want: "slow"},
		{name: "none", replicas: []*mangoreplica.Replica{draining}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			health := mangoreplica.NewHealthTracker()
			for _, r := range tt.avoid {
				health.Avoid(r.Incarnation(), mangoreplica.CauseReset, time.Second, now)
			}
			chain, err := Choose(
				View{Replicas: tt.replicas, Engine: engine(8), Status: health, LocalDataCentre: "x", Now: now},
				Request{Exclude: func(id string) bool { return tt.exclude[id] }, Random: noJitter},
			)
			is.Equal(err == nil, tt.want != "")
			is.Equal(strings.Join(chain.IDs(), ">"), tt.want)
		})
	}
}

// Guards against filling the KV caches of the local data centre while another one has capacity.
func TestFullDataCentreOverflows(t *testing.T) {
	is := is.New(t)
	health := mangoreplica.NewHealthTracker()
	view := View{
		Replicas: []*mangoreplica.Replica{replica("near", "x", "b", 0, 8), replica("far", "y", "b", 0, 8)},
		Engine:   engine(8), Status: health, LocalDataCentre: "x", Now: time.Unix(0, 0),
	}
	seen := map[string]int{}
	for range 60 {
		chain, err := Choose(view, Request{Tokens: 1000, Random: noJitter})
		is.NoErr(err)
		health.BeginRequest(1000, chain.IDs()...)
		seen[strings.Join(chain.IDs(), ">")]++
	}
	is.True(seen["near"] > seen["far"])
	is.True(seen["far"] > 10)
}

// Guards against a preference that is ignored, and against one that sends requests to a data centre without a whole chain, behind a
// long wait or without free memory.
func TestPreferredDataCentre(t *testing.T) {
	whole := []*mangoreplica.Replica{replica("near", "x", "b", 0, 8), replica("far", "y", "b", 0, 8)}
	long := func(name string) time.Duration { return map[string]time.Duration{"y": time.Second}[name] }
	tests := []struct {
		name      string
		replicas  []*mangoreplica.Replica
		preferred string
		penalty   func(string) time.Duration
		used      float64
		want      string
	}{
		{"none", whole, "", nil, 0, "near"},
		{"local", whole, "x", nil, 0, "near"},
		{"remote", whole, "y", nil, 0, "far"},
		{"no whole chain", []*mangoreplica.Replica{replica("near", "x", "b", 0, 8), replica("far", "y", "b", 0, 7)}, "y", nil, 0, "near"},
		{"a long wait", whole, "y", long, 0, "near"},
		{"no memory", whole, "y", nil, 1e9, "near"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			health := mangoreplica.NewHealthTracker()
			health.BeginRequest(tt.used, "far")
			view := View{Replicas: tt.replicas, Engine: engine(8), Status: health, LocalDataCentre: "x", Now: time.Unix(0, 0)}
			chain, err := Choose(view, Request{Tokens: 1000, Random: noJitter, Preferred: tt.preferred, Penalty: tt.penalty})
			is.NoErr(err)
			is.Equal(strings.Join(chain.IDs(), ">"), tt.want)
		})
	}
}

// Guards against attempts through replicas that ended or are leaving, which fail for certain and use up a retry each, when
// no data centre has a chain without avoided replicas.
func TestChooseExcludesCertainFailures(t *testing.T) {
	tests := []struct {
		name  string
		cause mangoreplica.Cause
		want  bool
	}{
		{"faulty as the last resort", mangoreplica.CauseFaulty, true},
		{"unreachable as the last resort", mangoreplica.CauseUnreachable, true},
		{"ended", mangoreplica.CauseEnded, false},
		{"leaving", mangoreplica.CauseLeaving, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			health, now := mangoreplica.NewHealthTracker(), time.Unix(1000, 0)
			only := replica("r", "x", "a", 0, 8)
			health.Avoid(only.Incarnation(), tt.cause, time.Second, now)
			_, err := Choose(View{
				Replicas: []*mangoreplica.Replica{only}, Engine: engine(8), Status: health, LocalDataCentre: "x", Now: now,
			}, Request{Random: noJitter})
			is.Equal(err == nil, tt.want)
		})
	}
}

// Guards against chains whose first replica fails a part of its requests although a healthy one holds the same layers.
func TestChooseAvoidsFaultyFirst(t *testing.T) {
	is := is.New(t)
	health, now := mangoreplica.NewHealthTracker(), time.Unix(1000, 0)
	one, two, rest := replica("1", "x", "a", 0, 8), replica("2", "x", "a", 0, 8), replica("3", "x", "a", 8, 16)
	for range 4 {
		health.RecordResult(one.Incarnation(), true, now)
		health.RecordResult(rest.Incarnation(), true, now)
	}
	chain, err := Choose(View{
		Replicas: []*mangoreplica.Replica{one, two, rest}, Engine: engine(16), Status: health, LocalDataCentre: "x", Now: now,
	}, Request{Random: noJitter})
	is.NoErr(err)
	is.Equal(chain.IDs(), []string{"2", "3"})
}
