package mangocustomer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against a fleet that admits more than the limit, one that leaves shares of idle daemons unused, and one that
// does not come back to the limit when load moves between daemons.
func TestLimitAcrossDaemons(t *testing.T) {
	const limit, daemons, second = 100, 8, 100
	tests := []struct {
		name string
		busy func(daemon, second int) bool
		low  float64
		high float64
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
			var fleet []*Limiter
			for range daemons {
				l := NewLimiter()
				l.SetDaemons(daemons)
				fleet = append(fleet, l)
			}
			now, admitted, most := time.Unix(0, 0), 0, 0
			for n := range 120 * second {
				now = now.Add(time.Second / second)
				if n%second == 0 {
					// Reports are 2 s old on average: half of the pairs exchange every second.
					for i, l := range fleet {
						for j := range fleet {
							if i != j && (i+j+n/second)%2 == 0 {
								l.Observe(fmt.Sprint(j), fleet[j].Usages(now), now)
							}
						}
					}
					most = 0
				}
				for d, l := range fleet {
					for range 2 {
						if tt.busy(d, n/second) && l.Allow(customer, now) == nil {
							most++
							if n >= 20*second {
								admitted++
							}
						}
					}
				}
				// The stated error: less than a limit's worth while the load moves, and the bursts.
				is.True(most <= 2*limit+daemons*limit/daemons)
			}
			used := float64(admitted) / (100 * limit)
			t.Logf("used %.3f of the limit", used)
			is.True(used >= tt.low && used <= tt.high)
		})
	}
}

// Guards against state that stays for each customer that ever called, and a refusal that names no time.
func TestLimiterDropsIdleCustomers(t *testing.T) {
	is := is.New(t)
	l, now := NewLimiter(), time.Unix(0, 0)
	for i := range 17000 {
		c := &mangomessage.Customer{Name: fmt.Sprint(i), RatePerSecond: 1}
		is.NoErr(l.Allow(c, now))
		is.Equal(kind(l.Allow(c, now)), mangocall.KindLimit)
	}
	is.Equal(len(l.Usages(now)), 17000)
	l.Observe("b", l.Usages(now), now)
	now = now.Add(2 * idleAfter)
	is.NoErr(l.Allow(&mangomessage.Customer{Name: "x", RatePerSecond: 1}, now))
	is.Equal(len(l.states), 1)
	is.Equal(len(l.usage.sums), 0)
	is.NoErr(l.Allow(&mangomessage.Customer{Name: "unlimited"}, now))
	is.Equal(len(l.states), 1)
}
