package mangochain

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func testProfile() *mangomessage.Profile {
	return &mangomessage.Profile{Name: "p", Model: "m", Version: "v", Layers: 4}
}

func drawView(t *rapid.T) View {
	view := View{LocalDataCentre: "a", DaemonCount: rapid.IntRange(1, 8).Draw(t, "daemons")}
	for i := range rapid.IntRange(0, 9).Draw(t, "replicas") {
		from := rapid.Uint32Range(0, 3).Draw(t, "from")
		view.Replicas = append(view.Replicas, Replica{
			Host: fmt.Sprint("h", i), DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "centre"), Model: "m",
			Version:   rapid.SampledFrom([]string{"v", "v", "v", "w"}).Draw(t, "version"),
			FromLayer: from, ToLayer: rapid.Uint32Range(from+1, 4).Draw(t, "to"),
			MaxBatch: rapid.IntRange(1, 8).Draw(t, "batch"), PeerInFlight: rapid.IntRange(0, 9).Draw(t, "peers"),
			ReportedCalls: rapid.IntRange(0, 9).Draw(t, "reported"), SlowStartFactor: 1,
			StepTime: time.Duration(rapid.IntRange(1, 50).Draw(t, "step")) * time.Millisecond,
			Leaving:  rapid.IntRange(0, 4).Draw(t, "leaving") == 0, Ejected: rapid.IntRange(0, 3).Draw(t, "ejected") == 0,
		})
	}
	return view
}

// tryAll returns the fewest ejected replicas and the least time of all chains from a boundary, and whether there is one.
func tryAll(view *View, request *Request, at uint32) (price, bool) {
	if at == request.Profile.GetLayers() {
		return price{}, true
	}
	best, found := price{}, false
	for i := range view.Replicas {
		r := &view.Replicas[i]
		if r.FromLayer != at || r.Leaving || r.Version != "v" || request.Exclude[r.Host] {
			continue
		}
		if rest, ok := tryAll(view, request, r.ToLayer); ok {
			if p := newEdge(view, request, r).price.plus(rest); !found || p.less(best) {
				best, found = p, true
			}
		}
	}
	return best, found
}

// Guards against chains that have gaps, use excluded or leaving replicas, or are dearer than the bound, and against
// claims that there is none.
func TestChooseAgainstAllChains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		request := Request{
			Profile: testProfile(), Seed: rapid.Uint64().Draw(t, "seed"),
			PrefixDigest: rapid.SampledFrom([]string{"", "x"}).Draw(t, "prefix"), Exclude: map[string]bool{"h0": true},
			InFlight: func(host string) int { return len(view.Replicas) * int(host[1]-'0') % 5 },
		}
		best, found := tryAll(&view, &request, 0)
		chain, err := Choose(view, request)
		if !found {
			var known *Error
			if !errors.As(err, &known) || known.Kind != KindNoChain {
				t.Fatalf("want no chain, got %v, %v", chain, err)
			}
			return
		}
		got, at := price{}, uint32(0)
		for _, s := range chain.Stages {
			r := s.Replica
			if r.FromLayer != at || r.Leaving || r.Version != "v" || request.Exclude[r.Host] {
				t.Fatalf("replica %v at boundary %d", r, at)
			}
			got, at = got.plus(newEdge(&view, &request, &r).price), r.ToLayer
		}
		bound := nearEqual
		if request.PrefixDigest != "" {
			bound = affinity
		}
		if err != nil || at != 4 || got.ejected != best.ejected || got.time != chain.Cost ||
			float64(got.time) > bound*float64(best.time)+4 {
			t.Fatalf("chain %v costs %v, the best %v, error %v", chain, got, best, err)
		}
	})
}

// Guards against a wrong maximum flow, by the minimum over all cuts of the boundaries into two sides.
func TestCapacityAgainstAllCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		for i := range view.Replicas {
			view.Replicas[i].Ejected = false
			view.Replicas[i].StepTime = 100 * time.Millisecond
		}
		least := 1 << 30
		for sides := range 8 { // boundaries 1 to 3; 0 is on the first side and 4 on the second
			first := func(b uint32) bool { return b == 0 || b < 4 && sides>>(b-1)&1 == 1 }
			cut := 0
			for _, r := range view.Replicas {
				if !r.Leaving && r.Version == "v" && first(r.FromLayer) && !first(r.ToLayer) {
					cut += r.MaxBatch
				}
			}
			least = min(least, cut)
		}
		if got := Capacity(view, testProfile()); got != least {
			t.Fatalf("capacity %d, minimum cut %d", got, least)
		}
		if got := MaxThroughput(view, testProfile()); got != float64(10*least) {
			t.Fatalf("bound %f, minimum cut %d", got, 10*least)
		}
	})
}

func even(replicas int) View {
	view := View{LocalDataCentre: "a", DaemonCount: 8}
	for i := range replicas {
		from := uint32(i % 4)
		view.Replicas = append(view.Replicas, Replica{
			Host: fmt.Sprint("h", i), DataCentre: "a", Model: "m", Version: "v", FromLayer: from, ToLayer: from + 1,
			MaxBatch: 8, StepTime: time.Duration(20+i%3) * time.Millisecond, SlowStartFactor: 1, ReportAge: time.Second,
		})
	}
	return view
}

// Guards against daemons with one stale view that all pick the same replicas.
func TestHerd(t *testing.T) {
	const daemons = 8
	idle := even(40)
	for i := range idle.Replicas {
		idle.Replicas[i].ReportedCalls = 2 * (i % 5) // a stale report calls every fifth replica idle
	}
	cases := []struct {
		name   string
		view   View
		prefix string
		calls  int
		factor float64
	}{
		{"even", even(40), "", 25, 1.5},
		{"first calls", even(40), "", 2, 4}, // 16 calls on 10 replicas of a range; without a random choice 5
		{"some idle by a stale report", idle, "", 25, 1.5},
		{"one hot prefix", even(40), "x", 25, 1.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			total := map[string]int{}
			for d := range daemons {
				own := map[string]int{}
				for n := range c.calls {
					chain, err := Choose(c.view, Request{
						Profile: testProfile(), Seed: uint64(d*1000 + n), PrefixDigest: c.prefix,
						InFlight: func(host string) int { return own[host] },
					})
					is.NoErr(err)
					for _, s := range chain.Stages {
						own[s.Replica.Host]++
						total[s.Replica.Host]++
					}
				}
			}
			most, mean := 0, float64(daemons*c.calls*4)/40
			for _, n := range total {
				most = max(most, n)
			}
			t.Logf("most loaded replica: %.2f of the mean", float64(most)/mean)
			is.True(float64(most) <= c.factor*mean)
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{40, 1025} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			view, seed := even(replicas), uint64(0)
			for b.Loop() {
				seed++
				if _, err := Choose(view, Request{Profile: testProfile(), Seed: seed}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
