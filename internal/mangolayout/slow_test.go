package mangolayout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a data centre that stays slow because of one part of its chain, although redundant replicas could hold the
// layers of that part.
func TestLayersOfSlowReplicaGetOtherHolders(t *testing.T) {
	for i, kinds := range testDataCentres() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			states := fleet(kinds)
			planUntilStable(states)
			p := newPlanner(engine(), states)
			p.countHolders()
			for n := range states {
				if states[n].Replica.Accelerator == "l4" && !p.isRedundant(states[n]) {
					states[n].Slowness = 12
					break
				}
			}
			planUntilStable(states)
			fast := make([]int, engine().Layers)
			for _, s := range states {
				for l := s.Layers.From; l < s.Layers.To && s.Slowness == 0; l++ {
					fast[l]++
				}
			}
			for l, n := range fast {
				if n == 0 {
					t.Errorf("all holders of layer %d are slow", l)
				}
			}
		})
	}
}

// Guards against plans that, because of slow replicas, take layers from replicas that serve well, leave a layer of a data
// centre whose replicas are all slow without a holder, or never come to an end.
func TestSlownessMovesNoSoleHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := fleet(rapid.SampledFrom(testDataCentres()).Draw(t, "data centre"))
		planUntilStable(states)
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
				t.Fatalf("the plan still has moves after 20 rounds: %v", moves)
			}
			for _, m := range moves {
				if m.Reason == ReasonShift || m.Urgent {
					t.Fatalf("replica %s gets an urgent or shifting move with the reason %s", m.Replica.ID, m.Reason)
				}
			}
			applyMoves(states, moves)
			if _, lowest := holderCountsOf(states); lowest < 1 {
				t.Fatalf("a layer has no holder after a plan")
			}
		}
	})
}
