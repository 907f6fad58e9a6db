package mangocapacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusals where first events take a part of the target without any queue: with a tenth of the memory in use, what
// is refused lowers the measured reading rate, which then justifies further refusals.
func TestConstantLatencyIsNotAQueue(t *testing.T) {
	tests := []struct {
		name                string
		latency             time.Duration
		maxFirst, maxLatest int // Refused of the 250 of the first second, and of the 2,250 of the nine after it.
	}{
		{"0.3 of the target", 150 * time.Millisecond, 0, 0},
		{"0.4 of the target", 200 * time.Millisecond, 40, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			random, tracker, names := rand.New(rand.NewPCG(1, 1)), NewTracker(), []string{"a", "b", "c"}
			var sites []Site
			for _, name := range names {
				sites = append(sites, Site{DataCentre: name, Capacity: 1e6, Used: 1e5, Free: 9e5})
			}
			work, class := Work{Tokens: 900, PromptTokens: 800, AnswerTokens: 200}, rank(1)
			type waiting struct {
				send *Send
				due  time.Duration
			}
			var sent []waiting
			refused, next := [2]int{}, 0
			for now := time.Duration(0); now < 10*time.Second; now += 4 * time.Millisecond {
				for ; next < len(sent) && sent[next].due <= now; next++ {
					sent[next].send.FirstEvent(at(now))
				}
				tracker.SetFleet(Report{}, Report{}, at(now))
				tracker.Arrive("s", "a", class, work, at(now))
				d := Decide(tracker.View("s", sites, nil, at(now)), Request{
					Class: class, Work: work, Target: 500 * time.Millisecond, TimeLeft: 20 * time.Second, Random: random.Float64(),
				})
				if !d.Admit {
					refused[min(now/time.Second, 1)]++
					continue
				}
				sent = append(sent, waiting{tracker.Begin("s", names[len(sent)%3], work, at(now)), now + tt.latency})
			}
			t.Logf("refused: %d in the first second, %d after it", refused[0], refused[1])
			is.True(refused[0] <= tt.maxFirst)
			is.True(refused[1] <= tt.maxLatest)
		})
	}
}
