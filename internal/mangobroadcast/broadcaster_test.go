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

func newBroadcaster(members ...string) *Broadcaster {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	v := &mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{{ID: "r", Service: "s", Address: "127.0.0.1:1"}})}
	for _, m := range members {
		v.Members = append(v.Members, mangostate.Member{Name: m, Address: m + ":1"})
	}
	return New(mangostate.Member{Name: "one", Address: "one:1"}, fakeClient{}, fixedState{v}, mangoreplica.NewHealthTracker(),
		mangocrash.New("one"), WithLogger(logger))
}

// Guards against sending nothing to a daemon whose lease has ended because the store refuses its calls, although the other
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
					From: &mangomessage.Member{Name: tt.sender, Address: tt.sender + ":1"},
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

// Guards against not checking a replica whose outage another daemon announced, so that streams through it wait until they
// time out, and against checking it again for each repetition of the same outage.
func TestAnnouncedOutageIsCheckedOnce(t *testing.T) {
	is := is.New(t)
	br := newBroadcaster("one", "two")
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
