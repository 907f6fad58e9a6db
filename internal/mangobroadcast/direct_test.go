package mangobroadcast

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// recordingClient is an Exchanger that passes on what it is given.
type recordingClient struct {
	sent chan *mangomessage.ExchangeRequest
	to   chan string
}

func (c recordingClient) Exchange(_ context.Context, address string, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	c.to <- address
	c.sent <- request
	return &mangomessage.ExchangeReply{}, nil
}

// Guards against requests and results of checks that are lost or changed on their way, and against a message for each of them.
func TestDirectMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		br := newBroadcasterIn(fixedTopology{hub: "two"}, "two")
		client := recordingClient{make(chan *mangomessage.ExchangeRequest, 8), make(chan string, 8)}
		br.client = client
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- br.Run(ctx) }()
		to, r, s := mangostate.Member{Name: "five", Address: "five:1"}, mangoreplica.Incarnation{ID: "r", Born: 3}, mangoreplica.Incarnation{ID: "s", Born: 4}
		br.SendCheckRequests(to, []mangoreplica.Incarnation{r, s})
		time.Sleep(batchDelay / 4)
		br.SendCheckResult(to, CheckResult{Replica: r, Reachable: true, At: time.Now()})
		time.Sleep(batchDelay / 4)
		br.SendOutage(to, mangoreplica.Outage{Replica: s, Cause: mangoreplica.CauseUnreachable, At: time.Now(), Until: time.Now().Add(time.Second), Checked: true})
		is.Equal(<-client.to, "five:1")
		message := <-client.sent
		cancel()
		is.True(<-ended != nil)
		is.Equal(len(client.sent), 0)
		is.True(message.GetOutages()[0].GetChecked())
		receiver := newBroadcaster("two")
		var requests []mangoreplica.Incarnation
		var results []CheckResult
		receiver.OnCheckRequests(func(from mangostate.Member, replicas []mangoreplica.Incarnation) {
			is.Equal(from.Name, "one")
			requests = append(requests, replicas...)
		})
		receiver.OnCheckResult(func(c CheckResult, _ string) { results = append(results, c) })
		_, err := receiver.Exchange(t.Context(), message)
		is.NoErr(err)
		is.Equal(requests, []mangoreplica.Incarnation{r, s})
		is.Equal(len(results), 1)
		is.Equal(results[0].Replica, r)
		is.True(results[0].Reachable)
		is.True(receiver.queued.empty() && receiver.queuedForFollowers.empty()) // checks are not sent on
	})
}

// failingClient is an Exchanger of which every second message fails.
type failingClient struct {
	recordingClient
	calls atomic.Int32
}

func (c *failingClient) Exchange(ctx context.Context, address string, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	if c.calls.Add(1)%2 == 1 {
		c.to <- address
		return nil, context.DeadlineExceeded
	}
	return c.recordingClient.Exchange(ctx, address, request)
}

// Guards against a hub that counts as alive although it did not answer, against a request for an answer that is not sent as it names no
// replica, and against a message from a daemon that does not count as a sign of life.
func TestAnswersShowLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		br := newBroadcasterIn(fixedTopology{hub: "two"}, "two")
		client := &failingClient{recordingClient: recordingClient{make(chan *mangomessage.ExchangeRequest, 8), make(chan string, 8)}}
		br.client = client
		alive := make(chan mangostate.Member, 8)
		br.OnAlive(func(m mangostate.Member) { alive <- m })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- br.Run(ctx) }()
		to := mangostate.Member{Name: "five", DataCentre: "b", Address: "five:1"}
		br.SendCheckRequests(to, nil)
		is.Equal(<-client.to, "five:1")
		br.SendCheckRequests(to, nil)
		is.Equal(<-alive, to)
		is.Equal(client.calls.Load(), int32(2)) // the first one failed
		_, err := br.Exchange(ctx, &mangomessage.ExchangeRequest{From: &mangomessage.Member{Name: "six", DataCentre: "c"}})
		is.NoErr(err)
		is.Equal((<-alive).DataCentre, "c")
		cancel()
		is.True(<-ended != nil)
	})
}

// Guards against a second check of what a monitor has found, and against trust in a daemon that does not monitor the replica.
func TestHubTrustsMonitors(t *testing.T) {
	tests := []struct {
		name    string
		from    string
		checked bool
		trusted bool
	}{
		{"checked by a monitor", "two", true, true},
		{"reported by a monitor", "two", false, false},
		{"checked by a hub that does not monitor it", "four", true, false},
		{"said to be checked by a follower", "five", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			br := newBroadcaster("one")
			view := br.state.View()
			view.Fleet = mangoreplica.NewFleet([]*mangoreplica.Replica{{ID: "r", Service: "s", DataCentre: "b"}})
			view.Members = []mangostate.Member{{Name: "one", DataCentre: "a"}, {Name: "two", DataCentre: "b"}, {Name: "four", DataCentre: "a"}}
			var calls []string
			br.OnOutage(func(*mangoreplica.Replica) { calls = append(calls, "check") })
			br.OnCheckedOutage(func(*mangoreplica.Replica) { calls = append(calls, "mark") })
			announcements := br.receive(&mangomessage.ExchangeRequest{
				From: &mangomessage.Member{Name: tt.from}, Outages: []*mangomessage.Outage{{Replica: "r", Cause: "Unreachable", HoldMs: 1500, Checked: tt.checked}},
			}, true, time.Now())
			is.Equal(slices.Contains(calls, "mark"), tt.trusted)
			is.Equal(slices.Contains(calls, "check"), !tt.trusted)
			is.Equal(br.health.Avoided(mangoreplica.Incarnation{ID: "r"}, time.Now()), tt.trusted)
			is.Equal(len(announcements.outages) == 1 && announcements.outages[0].Checked, tt.trusted)
		})
	}
}
