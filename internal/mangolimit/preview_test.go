package mangolimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// Guards against a preview that counts as demand, advances the draws or this daemon's part of a limit, and against chances that are
// not those of the draws that follow.
func TestPreviewIsTheNextDrawWithoutItsEffects(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	fleet := &peer{daemons: 2, known: map[string]float64{"r": 5}, knownAt: now}
	l := New(fleet, WithRandom(func() float64 { return 0.3 }))
	replica := mangoreplica.Incarnation{ID: "r"}
	is.True(l.Record(Limit{Replica: replica, Service: "s", Named: true, PerSecond: 8, At: now}))
	for range 3 {
		l.Draw("s", now)
		now = now.Add(300 * time.Millisecond)
	}
	demand, position, state := *l.demands["s"], l.positions["s"], *l.limits[replica]
	chances, draw := l.Preview("s", now)
	is.Equal(len(chances), 1)
	is.True(chances[0].Share > 0.5 && chances[0].Share <= 1)
	is.True(draw.Allows(replica))
	is.Equal(*l.demands["s"], demand)
	is.Equal(l.positions["s"], position)
	is.Equal(*l.limits[replica], state)
	next := l.Draw("s", now)
	is.Equal(next.capacity, draw.capacity)
	is.Equal(next.demand, draw.demand)

	for range 100 {
		l.CountSend(replica, now)
	}
	chances, draw = l.Preview("s", now)
	is.Equal(chances[0].Share, 0.0)
	is.True(!draw.Allows(replica)) // This daemon is ahead of its part.
	chances, _ = l.Preview("unknown", now)
	is.Equal(len(chances), 0)
	_, counted := l.demands["unknown"]
	is.True(!counted)
}
