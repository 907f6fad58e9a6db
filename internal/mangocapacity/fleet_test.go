package mangocapacity

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The bursts of the model last from modelBurstFrom to modelBurstTo.
const (
	modelBurstFrom = 6 * time.Second
	modelBurstTo   = 18 * time.Second
)

// modelLoads returns loads on 60 daemons with 230 requests per second and room for about 360 in three data centres.
func modelLoads() []struct {
	name string
	load modelLoad
} {
	base := modelLoad{daemons: 60, capacity: 120_000, readRate: 260_000, steady: []float64{50, 90, 90}, length: 24 * time.Second}
	with := func(change func(l *modelLoad)) modelLoad {
		l := base
		change(&l)
		return l
	}
	burst := func(b modelBurst) modelLoad {
		b.from, b.to = modelBurstFrom, modelBurstTo
		return with(func(l *modelLoad) { l.bursts = []modelBurst{b} })
	}
	return []struct {
		name string
		load modelLoad
	}{
		{"calm", base},
		{"burst of the least urgent", burst(modelBurst{perSecond: 350, rank: 2, scale: 1})},
		{"burst of the most urgent", burst(modelBurst{perSecond: 350, rank: 0, scale: 1})},
		{"burst of large requests", burst(modelBurst{perSecond: 60, rank: 1, scale: 5})},
		{"burst of one customer", burst(modelBurst{perSecond: 350, rank: 1, customer: 1, scale: 1})},
		{"a data centre lost in a burst", with(func(l *modelLoad) {
			l.bursts = []modelBurst{{from: modelBurstFrom, to: modelBurstTo, perSecond: 200, rank: 2, scale: 1}}
			l.lostFrom, l.lostTo = 10*time.Second, 15*time.Second
		})},
		{"callers that repeat at once", with(func(l *modelLoad) {
			l.bursts = []modelBurst{{from: modelBurstFrom, to: modelBurstTo, perSecond: 200, rank: 2, scale: 1}}
			l.impatient = true
		})},
		{"slow reading", with(func(l *modelLoad) {
			l.capacity, l.readRate = 400_000, 90_000
			l.bursts = []modelBurst{{from: modelBurstFrom, to: modelBurstTo, perSecond: 200, rank: 2, scale: 1}}
		})},
		{"room for two thirds", with(func(l *modelLoad) { l.capacity = 50_000 })},
	}
}

// Guards against daemons that, with views half a second to a second old, turn away what is urgent, what would have room, one size
// or one customer alone, or all of them in turn. The bounds are those of the requirements; the log has a table of both rules.
func TestFleetUnderShortage(t *testing.T) {
	for _, tt := range modelLoads() {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			before, after := newFleetModel(tt.load, true, 1), newFleetModel(tt.load, false, 1)
			before.run()
			after.run()
			t.Logf("sends that replicas refused: before %d of %d, after %d of %d; turned away with room: %d of %d",
				before.replicaRefusals, before.arrivals, after.replicaRefusals, after.arrivals, after.shedWithRoom, after.shed)
			last := 1.0
			for rank := range tt.load.steady {
				old, all := before.result(modelBurstFrom, modelBurstTo, ofRank(rank)), after.result(modelBurstFrom, modelBurstTo, ofRank(rank))
				t.Logf("rank %d: before %v, after %v", rank, old, all)
				is.True(all.servedShare() <= last+0.03) // No rank is served worse than a less urgent one.
				last = all.servedShare()
				is.True(all.servedShare() >= 0.1) // Each rank has a floor.
				for _, size := range [][2]float64{{0.7, 0.9}, {0.9, 1}} {
					oldLarge := before.result(modelBurstFrom, modelBurstTo, before.ofSize(rank, size[0], size[1]))
					large := after.result(modelBurstFrom, modelBurstTo, after.ofSize(rank, size[0], size[1]))
					t.Logf("    sizes from %.1f to %.1f: before %v, after %v", size[0], size[1], oldLarge, large)
					is.True(large.servedShare() >= all.servedShare()/2) // No size starves.
				}
			}
			others := after.result(modelBurstFrom, modelBurstTo, func(r *modelRequest) bool { return r.customer == 0 && r.rank == 1 })
			is.True(others.servedShare() >= 0.1)                             // No customer starves.
			is.True(float64(after.shedWithRoom) <= 0.05*float64(after.shed)) // Nothing is turned away while there is room.
			is.True(after.switches() <= 0.05)                                // Daemons do not admit all and none in turn.
			if after.shed == 0 {
				return
			}
			is.True(after.replicaRefusals <= before.replicaRefusals) // Retries are left to started streams.
			urgent := after.result(modelBurstFrom, modelBurstTo, ofRank(0))
			is.True(urgent.servedShare() >= 0.97) // The most urgent are served.
			if !tt.load.impatient {
				is.True(urgent.refusedTwiceShare() <= 0.1) // Callers who wait as told are not refused again.
			}
		})
	}
}
