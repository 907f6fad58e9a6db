package mangolayout

import (
	"fmt"
	"testing"
)

// BenchmarkShift plans a data centre that lost replicas without copies, which takes longer than any other plan.
func BenchmarkShift(b *testing.B) {
	for _, scale := range []int{1, 3, 10} {
		b.Run(fmt.Sprintf("replicas=%d", 14*scale), func(b *testing.B) {
			e := engine()
			e.Layers *= scale
			e.TokenBytes *= float64(scale)
			states := fleet(map[string]int{"h100": scale, "a100s": scale, "l4": 5 * scale, "t4": 7 * scale})
			for range 20 {
				moves := Plan(e, states)
				if len(moves) == 0 {
					break
				}
				applyMoves(states, moves)
			}
			left := without(without(without(states, "h100-0", false), "a100s-0", false), "l4-1", false)
			for b.Loop() {
				Plan(e, left)
			}
		})
	}
}
