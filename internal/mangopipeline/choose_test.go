package mangopipeline

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

func engine(layers int) *mangoroute.Engine {
	return &mangoroute.Engine{
		Layers: layers, LayerMB: 1750, TokenBytes: 590000, StepMS: 0.85,
		Accelerators: map[string]mangoroute.Accelerator{"a": {MemoryMB: 72000, StepFactor: 1}, "b": {MemoryMB: 36000, StepFactor: 9}},
	}
}

func still() float64 { return 0 }

func replica(id, dataCentre, kind string, from, to int) *mangoreplica.Replica {
	return &mangoreplica.Replica{
		ID: id, Address: id, DataCentre: dataCentre, Accelerator: kind, Layers: mangoreplica.LayerRange{From: from, To: to},
	}
}

// naive tries all ways through one data centre.
func naive(replicas []*mangoreplica.Replica, dataCentre string, at, layers int, cost func(*mangoreplica.Replica, int) float64) (float64, bool) {
	if at >= layers {
		return 0, true
	}
	best, found := 0.0, false
	for _, r := range replicas {
		if r.DataCentre != dataCentre || r.Layers.From > at || r.Layers.To <= at {
			continue
		}
		to := min(r.Layers.To, layers)
		if rest, ok := naive(replicas, dataCentre, to, layers, cost); ok && (!found || cost(r, to-at)+rest < best) {
			best, found = cost(r, to-at)+rest, true
		}
	}
	return best, found
}

// naiveSpares returns the ids of replicas of a data centre that can be left out, the smallest first, without a layer losing
// its last holder.
func naiveSpares(replicas []*mangoreplica.Replica, dataCentre string) map[string]bool {
	var left []*mangoreplica.Replica
	for _, r := range replicas {
		if r.DataCentre == dataCentre && r.Layers.Len() > 0 {
			left = append(left, r)
		}
	}
	order := slices.Clone(left)
	slices.SortFunc(order, func(a, b *mangoreplica.Replica) int {
		return cmp.Or(cmp.Compare(a.Layers.Len(), b.Layers.Len()), cmp.Compare(a.ID, b.ID))
	})
	spares := map[string]bool{}
	for _, r := range order {
		others := slices.DeleteFunc(slices.Clone(left), func(o *mangoreplica.Replica) bool { return o == r })
		needed := false
		for l := r.Layers.From; l < r.Layers.To; l++ {
			needed = needed || !slices.ContainsFunc(others, func(o *mangoreplica.Replica) bool { return o.Layers.From <= l && l < o.Layers.To })
		}
		if !needed {
			spares[r.ID] = true
			left = others
		}
	}
	return spares
}

// Guards against chains that leave out or repeat a layer, cross data centres, or cost more than the best way, by trying
// all ways.
func TestChooseAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 12).Draw(t, "layers")
		var replicas []*mangoreplica.Replica
		for i := range rapid.IntRange(0, 7).Draw(t, "replicas") {
			from := rapid.IntRange(0, layers).Draw(t, "from")
			replicas = append(replicas, replica(
				fmt.Sprint(i), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "centre"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"),
				from, rapid.IntRange(from, layers).Draw(t, "to"),
			))
		}
		e := engine(layers)
		view := View{Replicas: replicas, Engine: e, Status: mangoreplica.NewHealthTracker(), LocalDataCentre: "x", Daemons: 1, Now: time.Unix(0, 0)}
		spares := naiveSpares(replicas, "x")
		maps.Copy(spares, naiveSpares(replicas, "y"))
		cost := func(r *mangoreplica.Replica, n int) float64 {
			c := assess(view, Request{Random: still}, r).perLayer*float64(n) + float64(hopCost)
			if spares[r.ID] {
				c += float64(spareCost)
			}
			return c
		}
		local, inLocal := naive(replicas, "x", 0, layers, cost)
		remote, inRemote := naive(replicas, "y", 0, layers, cost)
		remote += float64(remoteCost)
		chain, err := Choose(view, Request{Random: still})
		if (err == nil) != (inLocal || inRemote) {
			t.Fatalf("chosen %v, naive %v %v", err == nil, inLocal, inRemote)
		}
		if err != nil {
			return
		}
		at := 0
		for _, p := range chain.Stages {
			if p.Layers.From != at || p.Replica.DataCentre != chain.DataCentre || !p.Replica.Layers.Contains(p.Layers) {
				t.Fatalf("part %v of %s does not continue at %d", p.Layers, p.Replica.ID, at)
			}
			at = p.Layers.To
		}
		want := local
		if !inLocal || (inRemote && remote < local) {
			want = remote
		}
		if at != layers || float64(chain.Cost) > want+2 || float64(chain.Cost) < want-2 {
			t.Fatalf("the chain ends at %d and costs %v, the best %v", at, chain.Cost, time.Duration(want))
		}
	})
}

// Guards against requests on the copies that are to take over lost layers, which would first wait for these requests, and
// against a copy that is left idle while the only other holder is full or lost.
func TestCopiesStayFree(t *testing.T) {
	now := time.Unix(100, 0)
	first, second := replica("first", "x", "b", 0, 5), replica("second", "x", "b", 5, 8)
	spare := replica("copy", "x", "b", 0, 5)
	tests := []struct {
		name  string
		lost  string
		share float64
		want  string
	}{
		{"calm", "", 0.1, "first>second"},
		{"the holder is nearly full", "", 0.95, "copy>second"},
		{"the holder is lost", "first", 0, "copy>second"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			board := mangoreplica.NewHealthTracker()
			e := engine(8)
			board.BeginRequest(tt.share*e.TokenCapacity("b", 5), "first")
			replicas := []*mangoreplica.Replica{second, spare}
			if tt.lost == "" {
				replicas = append(replicas, first)
			}
			chain, err := Choose(View{Replicas: replicas, Engine: e, Status: board, LocalDataCentre: "x", Daemons: 1, Now: now}, Request{Random: still})
			is.NoErr(err)
			is.Equal(strings.Join(chain.IDs(), ">"), tt.want)
		})
	}
}

// Guards against chains through replicas that leave or failed just now, and against refusing requests while only
// replicas in doubt are left.
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
		{name: "the fastest", replicas: []*mangoreplica.Replica{slow, whole}, want: "whole"},
		{name: "not a leaving one", replicas: []*mangoreplica.Replica{slow, draining}, want: "slow"},
		{name: "not an avoided one", replicas: []*mangoreplica.Replica{slow, whole}, avoid: []*mangoreplica.Replica{whole}, want: "slow"},
		{name: "an avoided one if need be", replicas: []*mangoreplica.Replica{whole}, avoid: []*mangoreplica.Replica{whole}, want: "whole"},
		{name: "not one that this request met", replicas: []*mangoreplica.Replica{slow, whole}, exclude: map[string]bool{"whole": true}, want: "slow"},
		{name: "none", replicas: []*mangoreplica.Replica{draining}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			board := mangoreplica.NewHealthTracker()
			for _, r := range tt.avoid {
				board.Avoid(r.Incarnation(), mangoreplica.CauseReset, time.Second, now)
			}
			chain, err := Choose(
				View{Replicas: tt.replicas, Engine: engine(8), Status: board, LocalDataCentre: "x", Daemons: 1, Now: now},
				Request{Exclude: func(id string) bool { return tt.exclude[id] }, Random: still},
			)
			is.Equal(err == nil, tt.want != "")
			is.Equal(strings.Join(chain.IDs(), ">"), tt.want)
		})
	}
}

// Guards against one data centre that is filled beyond its memory while others have room.
func TestPressureSpreads(t *testing.T) {
	is := is.New(t)
	board := mangoreplica.NewHealthTracker()
	view := View{
		Replicas: []*mangoreplica.Replica{replica("near", "x", "b", 0, 8), replica("far", "y", "b", 0, 8)},
		Engine:   engine(8), Status: board, LocalDataCentre: "x", Daemons: 1, Now: time.Unix(0, 0),
	}
	seen := map[string]int{}
	for range 60 {
		chain, err := Choose(view, Request{Tokens: 1000, Random: still})
		is.NoErr(err)
		board.BeginRequest(1000, chain.IDs()...)
		seen[strings.Join(chain.IDs(), ">")]++
	}
	is.True(seen["near"] > seen["far"])
	is.True(seen["far"] > 10)
}

// Guards against sends that are sure to be refused, each of which costs a retry, when no data centre is whole.
func TestChooseLeavesOutLostReplicas(t *testing.T) {
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
			board, now := mangoreplica.NewHealthTracker(), time.Unix(1000, 0)
			only := replica("r", "x", "a", 0, 8)
			board.Avoid(only.Incarnation(), tt.cause, time.Second, now)
			_, err := Choose(View{
				Replicas: []*mangoreplica.Replica{only}, Engine: engine(8), Status: board, LocalDataCentre: "x", Daemons: 1, Now: now,
			}, Request{Random: still})
			is.Equal(err == nil, tt.want)
		})
	}
}

// Guards against chains that begin at a replica that loses a part of its answers although another one holds the same
// layers.
func TestChooseAvoidsFaultyFirst(t *testing.T) {
	is := is.New(t)
	board, now := mangoreplica.NewHealthTracker(), time.Unix(1000, 0)
	one, two, rest := replica("1", "x", "a", 0, 8), replica("2", "x", "a", 0, 8), replica("3", "x", "a", 8, 16)
	for range 4 {
		board.RecordResult(one.Incarnation(), true, now)
		board.RecordResult(rest.Incarnation(), true, now)
	}
	chain, err := Choose(View{
		Replicas: []*mangoreplica.Replica{one, two, rest}, Engine: engine(16), Status: board, LocalDataCentre: "x", Daemons: 1, Now: now,
	}, Request{Random: still})
	is.NoErr(err)
	is.Equal(chain.IDs(), []string{"2", "3"})
}
