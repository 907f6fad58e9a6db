package mangobalance

import (
	"math"
	"testing"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Bounds of the model, from docs/design/requirements-2.md.
const (
	maxRejected  = 0.02
	maxPreempted = 50
	maxBehind    = 0.03
	// maxLate is the largest share of streams whose first event is late while the slots suffice.
	maxLate = 0.001
	// modelLength is a warm-up and one period of the swing.
	modelLength = 20 * time.Second
	modelSeed   = 1
)

// cheapest is the rule without shares: the cheapest data centre, with a fixed cost for leaving the local one.
func cheapest(*fleet, int, mangopipeline.View, *mangopipeline.Request) {}

// byShares is the rule of the relay.
func byShares(f *fleet, daemon int, v mangopipeline.View, r *mangopipeline.Request) {
	r.Preferred = Draw(Shares(v.LocalDataCentre, Observe(v, f.demand(daemon))), f.random.Float64())
}

// Guards against requests that leave a data centre with room, against data centres that run full while others have room, and
// against demand that moves between data centres as a whole, since all daemons choose by a similar, old view. Each load runs with
// and without shares.
func TestFleetOfThreeDataCentres(t *testing.T) {
	engine := &mangoroute.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 590000, StepMS: 1.02, MaxParallelLoads: 6, MeanAnswerTokens: modelAnswer, LoadSeconds: 14,
		Accelerators: map[string]mangoroute.Accelerator{
			"large": {MemoryMB: 72000, StepFactor: 2.4}, "middle": {MemoryMB: 43200, StepFactor: 5.6}, "small": {MemoryMB: 21600, StepFactor: 16},
		},
	}
	even := map[string]int{"large": 2, "middle": 10, "small": 16}
	half := map[string]int{"large": 1, "middle": 5, "small": 8}
	fast, slow := map[string]int{"large": 4, "middle": 8, "small": 6}, map[string]int{"large": 1, "middle": 10, "small": 26}
	loads := []struct {
		name   string
		counts []map[string]int
		// perSecond is the mean demand of each data centre.
		perSecond float64
		slots     int
		restart   bool
		// fewer says that at most a quarter of the needlessly remote streams remain.
		fewer bool
	}{
		{"94 a second each", []map[string]int{even, even, even}, 94, 192, false, true},
		{"135 a second each", []map[string]int{even, even, even}, 135, 192, false, true},
		{"110 a second each and 110 slots", []map[string]int{even, even, even}, 110, 110, false, false},
		{"125 a second each and uneven accelerators", []map[string]int{fast, even, slow}, 125, 192, false, true},
		{"100 a second each and a data centre of half the size", []map[string]int{even, half, even}, 100, 192, false, true},
		{"94 a second each and all daemons restart", []map[string]int{even, even, even}, 94, 192, true, false},
	}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			before := newFleet(engine, l.counts, l.perSecond, l.slots, modelSeed)
			before.play(cheapest, modelLength, l.restart)
			t.Log("cheapest:", before.result)
			after := newFleet(engine, l.counts, l.perSecond, l.slots, modelSeed)
			after.play(byShares, modelLength, l.restart)
			t.Log("shares:  ", after.result)
			a, b := after.result, before.result
			rejected := maxRejected
			if l.restart {
				// All callers come back within a second while the views begin at 0, so the bound on rejections does not hold with
				// either rule (0.049 to 0.072 with seeds 1 to 4). The shares must not make it much worse.
				rejected = 1.35 * b.rate(b.rejected)
			}
			if a.rate(a.rejected) > rejected || a.preempted > maxPreempted || a.rate(a.late) > maxLate {
				t.Errorf("%d rejected, %d preempted and %d late of %d", a.rejected, a.preempted, a.late, a.sends)
			}
			if mean, worst := a.served(); worst < mean-maxBehind {
				t.Errorf("the worst data centre has %.3f of its streams on time, the mean is %.3f", worst, mean)
			}
			if a.remote >= b.remote || l.fewer && a.needless > b.needless/4 {
				t.Errorf("%d streams remote, %d of them needlessly; %d and %d without shares", a.remote, a.needless, b.remote, b.needless)
			}
		})
	}
}

// Guards against steps in the shares, at which daemons with nearly the same view would all move, and against shares that do not
// add up.
func TestSharesAreContinuous(t *testing.T) {
	site := func(name string, use float64) Site {
		return Site{DataCentre: name, Capacity: 1000, Used: 1000 * use, Slots: 100, SlotsUsed: 90 * use, Duration: 3 * time.Second}
	}
	last := Shares("a", []Site{site("a", 0), site("b", 0.5), site("c", 0.8)})
	for use := 0.002; use < 1.1; use += 0.002 {
		shares := Shares("a", []Site{site("a", use), site("b", 0.5), site("c", 0.8)})
		sum := 0.0
		for i, s := range shares {
			sum += s.Share
			if math.Abs(s.Share-last[i].Share) > 0.02 {
				t.Errorf("the share of %s goes from %.3f to %.3f at a use of %.3f", s.DataCentre, last[i].Share, s.Share, use)
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("the shares add up to %v at a use of %.3f", sum, use)
		}
		last = shares
	}
}

// Guards against requests that leave a data centre with room, or for one that is as full.
func TestShares(t *testing.T) {
	site := func(name string, used, slots, demand float64) Site {
		return Site{DataCentre: name, Capacity: 1000, Used: used, Slots: 100, SlotsUsed: slots, Duration: 2 * time.Second, Demand: demand}
	}
	tests := []struct {
		name  string
		sites []Site
		want  []float64
	}{
		{"room", []Site{site("a", 650, 60, 0), site("b", 0, 0, 0), site("c", 0, 0, 0)}, []float64{1, 0, 0}},
		{"no memory", []Site{site("a", 1000, 60, 0), site("b", 400, 40, 0), site("c", 400, 40, 0)}, []float64{0, 0.5, 0.5}},
		{"no slots", []Site{site("a", 100, 100, 0), site("b", 400, 40, 0), site("c", 400, 40, 0)}, []float64{0, 0.5, 0.5}},
		{"demand of another one", []Site{site("a", 1000, 60, 0), site("b", 400, 40, 400), site("c", 400, 40, 1000)}, []float64{0, 2.0 / 3, 1.0 / 3}},
		{"all full", []Site{site("a", 1000, 100, 0), site("b", 1000, 100, 0), site("c", 1000, 100, 0)}, []float64{1, 0, 0}},
		{"no whole chain here", []Site{site("b", 500, 50, 500), site("c", 750, 75, 750)}, []float64{2.0 / 3, 1.0 / 3}},
		{"none here, none free", []Site{site("b", 1000, 100, 2000), site("c", 1000, 100, 2000)}, []float64{0.5, 0.5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i, s := range Shares("a", tt.sites) {
				if math.Abs(s.Share-tt.want[i]) > 1e-9 {
					t.Errorf("the share of %s is %.3f instead of %.3f", s.DataCentre, s.Share, tt.want[i])
				}
			}
		})
	}
	if got := Draw([]Share{{"a", 0.5}, {"b", 0.5}, {"c", 0}}, 0.75); got != "b" {
		t.Errorf("drew %q", got)
	}
	if got := Draw(nil, 0.5); got != "" {
		t.Errorf("drew %q without shares", got)
	}
}
