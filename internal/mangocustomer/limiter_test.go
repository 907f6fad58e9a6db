package mangocustomer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against daemons that together admit more than the limit, that leave shares of idle daemons unused, or that do not
// return to the limit when load moves between them.
func TestLimitAcrossDaemons(t *testing.T) {
	const limit, daemons, ticksPerSecond = 100, 8, 100
	tests := []struct {
		name    string
		busy    func(daemon, second int) bool
		minUsed float64
		maxUsed float64
	}{
		{"all busy", func(int, int) bool { return true }, 0.95, 1.02},
		{"one busy", func(d, _ int) bool { return d == 0 }, 0.95, 1.02},
		{"three busy", func(d, _ int) bool { return d < 3 }, 0.95, 1.02},
		{"load moves every 20 s", func(d, s int) bool { return d/4 == s/20%2 }, 0.75, 1.05},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			customer := &mangomessage.Customer{Name: "c", RatePerSecond: limit}
			var limiters []*Limiter
			for range daemons {
				l := NewLimiter()
				l.SetDaemonCount(daemons)
				limiters = append(limiters, l)
			}
			now, admitted, admittedThisSecond := time.Unix(0, 0), 0, 0
			for n := range 120 * ticksPerSecond {
				now = now.Add(time.Second / ticksPerSecond)
				if n%ticksPerSecond == 0 {
					// Reports are 2 s old on average: half of the pairs exchange every second.
					for i, l := range limiters {
						for j := range limiters {
							if i != j && (i+j+n/ticksPerSecond)%2 == 0 {
								l.RecordPeerUsages(fmt.Sprint(j), limiters[j].LocalUsages(now), now)
							}
						}
					}
					admittedThisSecond = 0
				}
				for d, l := range limiters {
					for range 2 {
						if tt.busy(d, n/ticksPerSecond) && l.Allow(customer, now) == nil {
							admittedThisSecond++
							if n >= 20*ticksPerSecond {
								admitted++
							}
						}
					}
				}
				// The bound that Limiter states: twice the limit while the load moves, and one burst for each daemon.
				is.True(admittedThisSecond <= 2*limit+daemons*limit/daemons)
			}
			used := float64(admitted) / (100 * limit)
			t.Logf("used %.3f of the limit", used)
			is.True(used >= tt.minUsed && used <= tt.maxUsed)
		})
	}
}

// Guards against state that is kept for each customer that ever called, and refusals without a time to retry after.
func TestLimiterDropsIdleCustomers(t *testing.T) {
	is := is.New(t)
	l, now := NewLimiter(), time.Unix(0, 0)
	for i := range 17000 {
		c := &mangomessage.Customer{Name: fmt.Sprint(i), RatePerSecond: 1}
		is.NoErr(l.Allow(c, now))
		is.Equal(refusalKind(l.Allow(c, now)), mangocall.KindLimit)
	}
	is.Equal(len(l.LocalUsages(now)), 17000)
	l.RecordPeerUsages("b", l.LocalUsages(now), now)
	now = now.Add(2 * customerIdleAfter)
	is.NoErr(l.Allow(&mangomessage.Customer{Name: "x", RatePerSecond: 1}, now))
	is.Equal(len(l.customers), 1)
	is.Equal(len(l.peerUsage.totals), 0)
	is.NoErr(l.Allow(&mangomessage.Customer{Name: "unlimited"}, now))
	is.Equal(len(l.customers), 1)
}
