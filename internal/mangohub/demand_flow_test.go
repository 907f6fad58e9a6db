package mangohub

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

type emptyState struct{}

func (emptyState) View() *mangostate.View {
	return &mangostate.View{Fleet: mangoreplica.NewFleet(nil)}
}

// role is a Topology of a daemon that is a hub or not.
type role bool

func (r role) IsHub() bool { return bool(r) }

// Guards against daemons that see only their own demand, that count it twice, or that take an update of a hub that does not
// know the demand for one without demand.
func TestDemandReachesFollowers(t *testing.T) {
	is := is.New(t)
	loads := func(time.Time) map[string]mangoreplica.Load { return nil }
	newReporter := func(name string, hub role, announce Announcer) (*Reporter, *mangocapacity.Tracker) {
		tracker := mangocapacity.NewTracker()
		return NewReporter(name, "d", loads, mangoreplica.NewHealthTracker(), emptyState{}, hub, NewLoadTable(), tracker, NewDemandTable(), announce), tracker
	}
	hub, hubTracker := newReporter("hub", true, func([]*mangomessage.ReplicaLoad, *mangomessage.DemandReport, int) {})
	follower, tracker := newReporter("follower", false, func(l []*mangomessage.ReplicaLoad, d *mangomessage.DemandReport, daemons int) {
		hub.HandleReport("follower", l, d, daemons, false)
	})
	now := time.Now()
	class := mangocapacity.Class{Rank: mangoroute.Rank{Priority: 1}}
	for range 10 {
		hubTracker.Arrive("s", "d", class, mangocapacity.Work{Tokens: 100}, now)
		tracker.Arrive("s", "d", class, mangocapacity.Work{Tokens: 100}, now)
	}
	server := NewServer("hub", NewMirror(), WithLoads(hub.Loads))
	for range 3 {
		follower.reportOwn(loads(now), now)
		hub.reportGroup(loads(now), true, now)
		server.current = hub.Loads()
		update := &mangomessage.FollowUpdate{}
		server.addLoads(update)
		follower.HandleUpdate(update)
	}
	follower.HandleUpdate(&mangomessage.FollowUpdate{Daemons: 2})
	for _, tr := range []*mangocapacity.Tracker{hubTracker, tracker} {
		view := tr.View("s", nil, nil, now)
		is.Equal(len(view.Demand), 1)
		is.True(view.Demand[0].Tokens > 1990 && view.Demand[0].Tokens < 2010)
		is.True(view.Age < time.Second)
	}
}
