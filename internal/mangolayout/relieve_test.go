package mangolayout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against data centres that stay slow with one part of their chain although copies could hold its layers.
func TestSlowReplicaIsRelieved(t *testing.T) {
	for i, kinds := range sites() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			states := fleet(kinds)
			settleAll(states)
			p := newPlanner(engine(), states)
			p.count()
			for n := range states {
				if states[n].Replica.Accelerator == "l4" && !p.redundant(states[n]) {
					states[n].Slowness = 12
					break
				}
			}
			settleAll(states)
			fast := make([]int, engine().Layers)
			for _, s := range states {
				for l := s.Layers.From; l < s.Layers.To && s.Slowness == 0; l++ {
					fast[l]++
				}
			}
			for l, n := range fast {
				if n == 0 {
					t.Errorf("layer %d has no holder that is well", l)
				}
			}
		})
	}
}

// Guards against plans that take layers from replicas that serve well because others are slow, lose the cover of a data
// centre whose replicas are all slow, or never settle.
func TestSlownessMovesNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := fleet(rapid.SampledFrom(sites()).Draw(t, "site"))
		settleAll(states)
		for i := range states {
			if rapid.Bool().Draw(t, "slow") {
				states[i].Slowness = rapid.SampledFrom([]float64{1.5, 3, 12}).Draw(t, "slowness")
			}
		}
		for round := range 20 {
			moves := Plan(engine(), states)
			if len(moves) == 0 {
				break
			}
			if round == 19 {
				t.Fatalf("the plan does not settle: %v", moves)
			}
			for _, m := range moves {
				if m.Reason == ReasonShift || m.Urgent {
					t.Fatalf("%s is moved for %s", m.Replica.ID, m.Reason)
				}
			}
			carryOut(states, moves)
			if _, least := coverOf(states); least < 1 {
				t.Fatalf("a layer has no holder")
			}
		}
	})
}
