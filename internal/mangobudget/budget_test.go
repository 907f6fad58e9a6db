package mangobudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a fleet that exceeds its budget in some window, for any order of requests and retries, while daemons see
// only a part of the fleet and restarts lose the counts. Also against an Available that differs from what Take does.
func TestFleetKeepsBudget(t *testing.T) {
	limit := Limit{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 6).Draw(t, "daemons")
		start := time.Now()
		budgets := make([]*Budget, daemons)
		for i := range budgets {
			budgets[i] = New(limit)
			budgets[i].start = start
			budgets[i].maxDaemons = daemons
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			seen := rapid.IntRange(1, daemons).Draw(t, "seen")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				budgets[i].CountRequest("s", start.Add(now))
				requests = append(requests, now)
			case 3:
				if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
					budgets[i] = New(limit, WithRestarted(true))
					budgets[i].start = start.Add(now)
					budgets[i].maxDaemons = daemons
				}
			default:
				reserved := rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "reserved")
				available := budgets[i].Available("s", seen, reserved, start.Add(now))
				taken := budgets[i].Take("s", seen, reserved, start.Add(now))
				if available != taken {
					t.Fatalf("available %v, taken %v", available, taken)
				}
				if taken {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			retried, requested := countBetween(retries, end-limit.Window, end), countBetween(requests, end-limit.Window, end)
			if float64(retried) > limit.Ratio*float64(requested)+limit.Slack {
				t.Fatalf("%d retries for %d requests in the window before %v", retried, requested, end)
			}
		}
	})
}

// countBetween counts the times in (after, until].
func countBetween(times []time.Duration, after, until time.Duration) int {
	n := 0
	for _, at := range times {
		if at > after && at <= until {
			n++
		}
	}
	return n
}

// Guards against spending the full slack again after each restart.
func TestRestartHasNoSlack(t *testing.T) {
	tests := []struct {
		name      string
		restarted bool
		after     time.Duration
		want      int
	}{
		{"first start", false, 0, 85},
		{"restart", true, 0, 0},
		{"half a window later", true, 5 * time.Second, 0},
		{"a window later", true, 10 * time.Second, 85},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := New(Limit{Slack: 100, Window: 10 * time.Second}, WithRestarted(tt.restarted))
			now := b.start.Add(tt.after)
			n := 0
			for b.Take("s", 1, 0, now) {
				n++
			}
			is.Equal(n, tt.want)
		})
	}
}

// Guards against larger shares of the slack for the others when a peer is no longer seen.
func TestLostPeersKeepTheirShare(t *testing.T) {
	is := is.New(t)
	b := New(Limit{Slack: 100, Window: 10 * time.Second})
	n := 0
	for b.Take("s", 10, 0, b.start) {
		n++
	}
	for b.Take("s", 1, 0, b.start) {
		n++
	}
	is.Equal(n, 8)
}
