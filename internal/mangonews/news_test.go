package mangonews

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangosuspect"
	"mangopath.org/mangopath/pkg/mangomessage"
)

type fixedState struct{ view *mangostate.View }

func (s fixedState) View() *mangostate.View { return s.view }

type noClient struct{}

func (noClient) Exchange(context.Context, string, *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	return &mangomessage.ExchangeReply{}, nil
}

func newNews(members ...string) *Broadcaster {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	v := &mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{{ID: "r", Service: "s", Address: "127.0.0.1:1"}})}
	for _, m := range members {
		v.Members = append(v.Members, mangostate.Member{Name: m, Address: m + ":1"})
	}
	return New(mangostate.Member{Name: "one", Address: "one:1"}, noClient{}, fixedState{v}, mangoreplica.NewHealthTracker(),
		mangosuspect.New("one"), WithLogger(logger))
}

// Guards against a daemon that hears nothing of lost replicas because the store turns it away, so that its lease has
// ended, although the other daemons reach it.
func TestPeers(t *testing.T) {
	tests := []struct {
		name   string
		sender string
		age    time.Duration
		want   []string
	}{
		{"announced only", "", 0, []string{"two"}},
		{"announced and heard of", "two", 0, []string{"two"}},
		{"heard of only", "three", 0, []string{"two", "three"}},
		{"heard of long ago", "three", time.Minute, []string{"two"}},
		{"itself", "one", 0, []string{"two"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newNews("one", "two")
			if tt.sender != "" {
				_, err := n.Exchange(t.Context(), &mangomessage.ExchangeRequest{
					From: &mangomessage.Member{Name: tt.sender, Address: tt.sender + ":1"},
				})
				is.NoErr(err)
			}
			var names []string
			for _, m := range n.peers(time.Now().Add(tt.age)) {
				names = append(names, m.Name)
			}
			is.Equal(names, tt.want)
		})
	}
}

// Guards against hearsay of a lost replica that is never checked, so that streams through it wait for silence, and against
// a check for each repetition of the same news.
func TestHearsayIsChecked(t *testing.T) {
	is := is.New(t)
	n := newNews("one", "two")
	var checked []string
	n.OnOutage(func(r *mangoreplica.Replica) { checked = append(checked, r.ID) })
	for range 3 {
		_, err := n.Exchange(t.Context(), &mangomessage.ExchangeRequest{
			From:    &mangomessage.Member{Name: "two", Address: "two:1"},
			Outages: []*mangomessage.Outage{{Replica: "r", Cause: string(mangoreplica.CauseEnded), HoldMs: 1500}},
		})
		is.NoErr(err)
	}
	is.Equal(checked, []string{"r"})
}
