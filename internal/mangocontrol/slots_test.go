package mangocontrol

import (
	"testing"

	"github.com/matryer/is"
)

// TestSlotsWithLateReports guards against daemons that together run many more calls than there are slots, since each
// learns of the others' calls late, and against idle slots that a single busy daemon cannot use.
func TestSlotsWithLateReports(t *testing.T) {
	tests := []struct {
		name      string
		demand    []int
		low, high int
	}{
		{"all busy", []int{500, 500, 500, 500, 500, 500, 500, 500}, 264, 272},
		{"one busy", []int{500, 0, 0, 0, 0, 0, 0, 0}, 250, 272},
		{"three busy", []int{500, 500, 0, 0, 0, 500, 0, 0}, 250, 272},
	}
	const total, seconds = 272, 120
	delay := 8 // Intervals of 250 ms until a peer's calls are known: 2 s.
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			daemons := len(tt.demand)
			histories := make([]inFlightHistory, daemons)
			for d := range histories {
				histories[d] = inFlightHistory{}
			}
			var runningAt [][]int
			running := make([]int, daemons)
			for n := range seconds * 4 {
				runningAt = append(runningAt, append([]int(nil), running...))
				reported := runningAt[max(0, n-delay)]
				sum := 0
				for d := range running {
					peers := 0
					for other, calls := range reported {
						if other != d {
							peers += calls
						}
					}
					slots := daemonSlots(total, histories[d].push("p", running[d]), peers, daemons)
					// Calls last about a second, so that at most a quarter of them end in an interval.
					running[d] = min(tt.demand[d], max(slots, running[d]*3/4))
					sum += running[d]
				}
				is.True(sum <= 2*total) // also while all daemons start at the same time
				if n > seconds*2 {
					is.True(sum >= tt.low && sum <= tt.high)
				}
			}
		})
	}
}
