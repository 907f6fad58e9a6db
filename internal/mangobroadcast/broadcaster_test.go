package mangobroadcast

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

type fixedState struct{ view *mangostate.View }

func (s fixedState) View() *mangostate.View { return s.view }

type fakeClient struct{}

func (fakeClient) Exchange(context.Context, string, *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	return &mangomessage.ExchangeReply{}, nil
}

// fixedTopology is a Topology that does not change.
type fixedTopology struct {
	isHub bool
	hub   string
}

func (t fixedTopology) IsHub() bool { return t.isHub }

func (t fixedTopology) Hub() (mangostate.Member, bool) {
	return mangostate.Member{Name: t.hub, Address: t.hub + ":1"}, t.hub != ""
}

// recordedAnnouncements is a Publisher that keeps what it is given.
type recordedAnnouncements struct {
	announcements []*mangomessage.ExchangeRequest
}

func (r *recordedAnnouncements) Publish(_ string, announcements *mangomessage.ExchangeRequest) {
	r.announcements = append(r.announcements, announcements)
}

func (r *recordedAnnouncements) Wake() {}

// newBroadcaster returns the broadcaster of the daemon "one", a hub, with the given hubs.
func newBroadcaster(members ...string) *Broadcaster {
	return newBroadcasterIn(fixedTopology{isHub: true}, members...)
}

func newBroadcasterIn(topology Topology, members ...string) *Broadcaster {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	v := &mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{{ID: "r", Service: "s", Address: "127.0.0.1:1"}})}
	for _, m := range members {
		v.Members = append(v.Members, mangostate.Member{Name: m, Address: m + ":1"})
	}
	return New(mangostate.Member{Name: "one", Address: "one:1"}, fakeClient{}, fixedState{v}, topology, mangoreplica.NewHealthTracker(),
		mangocrash.New("one"), WithLogger(logger))
}

// Guards against sending nothing to a hub whose lease has ended because the store refuses its calls, although the other
// daemons can reach it.
func TestPeersIncludeRecentSenders(t *testing.T) {
	tests := []struct {
		name   string
		sender string
		age    time.Duration
		want   []string
	}{
		{"entry in the store", "", 0, []string{"two"}},
		{"entry in the store, and sent a message", "two", 0, []string{"two"}},
		{"sent a message only", "three", 0, []string{"two", "three"}},
		{"sent a message long ago", "three", time.Minute, []string{"two"}},
		{"a message from itself", "one", 0, []string{"two"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			br := newBroadcaster("one", "two")
			if tt.sender != "" {
				_, err := br.Exchange(t.Context(), &mangomessage.ExchangeRequest{
					From: &mangomessage.Member{Name: tt.sender, Address: tt.sender + ":1"}, Relayed: true,
				})
				is.NoErr(err)
			}
			var names []string
			for _, m := range br.peers(time.Now().Add(tt.age)) {
				names = append(names, m.Name)
			}
			is.Equal(names, tt.want)
		})
	}
}

// Guards against announcements that go to all daemons, whose number of messages grows with the square of theirs, and against
// none at all while there is no hub to follow.
func TestAnnouncementsGoThroughHubs(t *testing.T) {
	tests := []struct {
		name     string
		topology fixedTopology
		want     []string
	}{
		{"a hub sends to the other hubs", fixedTopology{isHub: true}, []string{"two", "three", "four"}},
		{"a follower sends to its hub", fixedTopology{hub: "three"}, []string{"three"}},
		{"a daemon without a hub sends to two", fixedTopology{}, []string{"two", "three"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var names []string
			for _, m := range newBroadcasterIn(tt.topology, "one", "two", "three", "four").peers(time.Now()) {
				names = append(names, m.Name)
			}
			is.Equal(names, tt.want)
		})
	}
}

// Guards against announcements that do not reach all followers or all hubs, and against hubs that send each other the same
// announcement for ever.
func TestHubSendsOn(t *testing.T) {
	tests := []struct {
		name    string
		relayed bool
		isHub   bool
		// toFollowers and toHubs say to whom a hub sends on what it received.
		toFollowers, toHubs bool
	}{
		{"from a follower", false, true, true, true},
		{"from another hub", true, true, true, false},
		{"to a daemon that is no hub", false, false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			br := newBroadcasterIn(fixedTopology{isHub: tt.isHub}, "one", "two")
			followers := &recordedAnnouncements{}
			br.OnPublish(followers)
			_, err := br.Exchange(t.Context(), &mangomessage.ExchangeRequest{
				From:      &mangomessage.Member{Name: "five", Address: "five:1"},
				Sightings: []*mangomessage.Sighting{{Replica: "r", FromLayer: 1, ToLayer: 4}}, Relayed: tt.relayed,
			})
			is.NoErr(err)
			is.Equal(len(br.queued.layerReports) > 0, tt.toHubs)
			br.publish(time.Now())
			is.Equal(len(followers.announcements) == 1 && len(followers.announcements[0].GetSightings()) == 1, tt.toFollowers)
		})
	}
}

// Guards against a daemon that is cut off and so makes all others avoid sound replicas: a hub sends an outage on only when it
// has found the replica lost itself, and tells of one that has been reached again.
func TestHubChecksOutages(t *testing.T) {
	tests := []struct {
		name  string
		isHub bool
		cause mangoreplica.Cause
		// avoidedBefore says that the receiver avoids the replica already.
		avoidedBefore            bool
		checked, avoided, sentOn bool
	}{
		{"a hub checks", true, mangoreplica.CauseUnreachable, false, true, false, false},
		{"a hub has found it itself", true, mangoreplica.CauseUnreachable, true, false, true, false},
		{"a follower relies on its hub", false, mangoreplica.CauseUnreachable, false, true, true, true},
		{"the replica said that it leaves", true, mangoreplica.CauseStopping, false, false, true, true},
		{"it was reached again", true, mangoreplica.CauseReachable, true, false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			br := newBroadcasterIn(fixedTopology{isHub: tt.isHub, hub: "two"}, "one", "two")
			checked := false
			br.OnOutage(func(*mangoreplica.Replica) { checked = true })
			now, r := time.Now(), mangoreplica.Incarnation{ID: "r"}
			if tt.avoidedBefore {
				br.health.Avoid(r, mangoreplica.CauseUnreachable, time.Minute, now)
			}
			announcements := br.receive(&mangomessage.ExchangeRequest{
				From: &mangomessage.Member{Name: "two"}, Outages: []*mangomessage.Outage{{Replica: "r", Cause: string(tt.cause), HoldMs: 1500}},
			}, tt.isHub, now)
			is.Equal(checked, tt.checked)
			is.Equal(br.health.Avoided(r, now), tt.avoided)
			is.Equal(len(announcements.outages) == 1, tt.sentOn)
		})
	}
}

// Guards against not checking a replica whose outage another daemon announced, so that streams through it wait until they
// time out, and against checking it again for each repetition of the same outage.
func TestAnnouncedOutageIsCheckedOnce(t *testing.T) {
	is := is.New(t)
	br := newBroadcasterIn(fixedTopology{hub: "two"}, "one", "two")
	var checked []string
	br.OnOutage(func(r *mangoreplica.Replica) { checked = append(checked, r.ID) })
	for range 3 {
		_, err := br.Exchange(t.Context(), &mangomessage.ExchangeRequest{
			From:    &mangomessage.Member{Name: "two", Address: "two:1"},
			Outages: []*mangomessage.Outage{{Replica: "r", Cause: string(mangoreplica.CauseEnded), HoldMs: 1500}},
		})
		is.NoErr(err)
	}
	is.Equal(checked, []string{"r"})
}

// Guards against a replica that other daemons go on using after it told one of them that it is leaving, and against a later
// start of it, or one whose health check failed for a moment, that they leave out for ever.
func TestAnnouncedStopLasts(t *testing.T) {
	tests := []struct {
		name  string
		cause mangoreplica.Cause
		born  int64
		want  bool
	}{
		{"it said so in an answer", mangoreplica.CauseStopping, 0, true},
		{"an earlier start said so", mangoreplica.CauseStopping, 5, false},
		{"its health check says so", mangoreplica.CauseLeaving, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			br := newBroadcaster("one", "two")
			_, err := br.Exchange(t.Context(), &mangomessage.ExchangeRequest{
				From:    &mangomessage.Member{Name: "two", Address: "two:1"},
				Outages: []*mangomessage.Outage{{Replica: "r", Cause: string(tt.cause), HoldMs: 3000, Born: tt.born}},
			})
			is.NoErr(err)
			is.Equal(br.health.Leaving(mangoreplica.Incarnation{ID: "r"}), tt.want)
		})
	}
}
