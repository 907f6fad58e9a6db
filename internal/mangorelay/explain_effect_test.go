package mangorelay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against queries that count as demand or for the retry budget, take part of a limit, advance the random state, send
// something or write a key to the log. The numbers are compared at one time, so that only the queries can change them.
func TestExplainChangesNothing(t *testing.T) {
	is := is.New(t)
	f := newExplainFixture()
	f.fill()
	f.health.Avoid(f.incarnation("b1"), mangoreplica.CauseReset, time.Minute, time.Now())
	f.relay.limiter.Record(mangolimit.Limit{Replica: f.incarnation("a1"), Service: "s", Named: true, PerSecond: 1, At: time.Now()})
	f.relay.demand.Arrive("s", "a", mangocapacity.Class{Rank: mangoroute.Rank{Priority: 2}}, mangocapacity.Work{Tokens: 100}, time.Now())
	f.relay.limiter.Draw("s", time.Now())
	drawn := f.draws
	at := time.Now().Add(time.Second)
	type state struct {
		demand  mangocapacity.Report
		limits  map[string]mangoreplica.Load
		chances []mangolimit.Chance
		retries float64
		outages map[mangoreplica.Incarnation]mangoreplica.Outage
		load    mangoreplica.Load
	}
	read := func() state {
		chances, _ := f.relay.limiter.Preview("s", at)
		return state{
			f.relay.demand.Own(at), f.relay.limiter.AddDemand(map[string]mangoreplica.Load{}, at), chances,
			f.relay.budget.Remaining("s", at), f.health.Outages(at), f.health.FleetLoad("a1", at),
		}
	}
	before := read()
	for _, q := range []*mangomessage.RelayExplainRequest{modelQuery(), {Host: "h", Path: "/v1", Key: "secret-1"}, {Host: "h", Path: "/plain"}, {Host: "x", Path: "/", Key: "secret-1"}} {
		for range 50 {
			_, _ = f.relay.Explain(q)
		}
	}
	is.Equal(read(), before)
	is.Equal(f.draws, drawn)
	is.Equal(f.sent, 0)
	is.Equal(len(f.relay.running.calls), 0)
	is.Equal(len(f.relay.pendingChecks), 0)
	is.Equal(f.log.String(), "") // A dialer is absent, so a send would also panic.
}
