package mangorelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// oneIdle is a KeptExchanger that always has an idle connection to one replica.
type oneIdle string

func (o oneIdle) HasIdle(e mangoconn.Endpoint) bool { return e.Replica.ID == string(o) }

func (oneIdle) ExchangeKept(context.Context, mangoconn.Endpoint, *http.Request, *mangoconn.ReadWaiter) (*mangoconn.Response, time.Duration, error) {
	return nil, 0, mangoconn.ErrNoneIdle
}

func (oneIdle) ExchangeNew(context.Context, mangoconn.Endpoint, *http.Request, time.Duration, *mangoconn.ReadWaiter) (*mangoconn.Response, error) {
	return nil, mangoconn.ErrNoneIdle
}

// plainCodec is a Codec whose requests and answers have no content.
type plainCodec struct{}

func (plainCodec) Encode(UpstreamRequest) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://r/", http.NoBody) //nolint:noctx // It is never sent.
}

func (plainCodec) Decode(*http.Response) AnswerHead { return AnswerHead{} }

// Guards against two retries taken from the budget for one send: the one that was taken ahead while the kept connection was silent
// counts for the send over a new connection.
func TestSendAgainUsesRetryTakenAhead(t *testing.T) {
	is := is.New(t)
	l := slowCase{kind: mangoroute.Idempotent, others: 1, slack: 3}.limiter()
	c := l.call
	c.relay.kept, c.relay.codec = oneIdle(""), plainCodec{}
	is.True(c.takeRetryAhead(time.Now()))
	k, wait := newKeptLimiter(l)
	_, err := c.exchangeAgain(t.Context(), k, wait, keptSilent, 0)
	is.Equal(err, mangoconn.ErrNoneIdle) // It was sent.
	is.True(!c.hasRetry)
}

// Guards against a preference that sends twice as many requests to a replica of a plain service as it would get otherwise, even
// if the idle connection is always the one to it, and against one for a request that may not use it.
func TestPreferenceKeepsSpreadOfPlainReplicas(t *testing.T) {
	const requests = 20000
	for _, n := range []int{3, 5, 7} {
		for _, kind := range []mangoroute.Kind{mangoroute.Idempotent, mangoroute.NonIdempotent} {
			is := is.New(t)
			var replicas []*mangoreplica.Replica
			for i := range n {
				replicas = append(replicas, &mangoreplica.Replica{ID: fmt.Sprint(i), DataCentre: "a", Slots: 6})
			}
			c := newStreamCall(mangoreplica.NewHealthTracker())
			c.route.Kind, c.relay.kept = kind, oneIdle("0")
			c.relay.random = rand.New(rand.NewPCG(1, uint64(n))).Float64
			chosen := 0
			for range requests {
				target, ok := c.chooseReplica(replicas)
				is.True(ok)
				if target.first.ID == "0" {
					chosen++
				}
			}
			share := float64(chosen) / requests * float64(n)
			t.Logf("%d replicas, %v: %.2f times the even share", n, kind, share)
			is.True(share < 1.8)
			is.Equal(share > 1.1, kind == mangoroute.Idempotent)
		}
	}
}

// Guards against a second send of a request whose path has been repaired, or may still be by an order without a result: the replica
// has the request, or the order would change the path of the second send.
func TestRepairedRequestIsNotSentAgain(t *testing.T) {
	tests := []struct {
		name       string
		repair     pathRepair
		unanswered string
	}{
		{"path changed", pathRepair{changed: 1}, ""},
		{"order under way", pathRepair{running: true}, ""},
		{"order without an answer", pathRepair{}, "r"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newStreamCall(mangoreplica.NewHealthTracker())
			chain := chainTarget("r", "s")
			c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{chain.first, chain.stages[1].Replica})}}
			c.relay.kept, c.relay.codec, c.hasRetry, c.mayHaveRunOn, c.unansweredFirst = oneIdle(""), plainCodec{}, true, map[string]bool{}, tt.unanswered
			k, wait := newKeptLimiter(&silenceLimiter{call: c, target: chain, repair: &tt.repair})
			ended := make(chan struct{})
			close(ended)
			k.awaitsHead, k.check = true, ended
			is.True(k.remainingWait(300*time.Millisecond) > 0)
			is.True(!k.gaveUp)
			_, err := c.exchangeAgain(t.Context(), k, wait, keptBroken, 0)
			var lost *keptLossError
			is.True(errors.As(err, &lost)) // It was not sent again.
			is.True(c.hasRetry)
		})
	}
}

// Guards against a kept connection that is given up for a silence that is not its own: a queue at the replica, or a lost stage.
// Also against one that is waited for without end.
func TestSilenceOnKeptConnection(t *testing.T) {
	tests := []struct {
		name   string
		silent time.Duration
		// wait is the wait of an earlier request for its first event.
		wait      time.Duration
		lost      bool
		awaits    bool
		reachable bool
		gaveUp    bool
	}{
		{"beyond the limit, replica reachable", 300 * time.Millisecond, 0, false, true, true, true},
		{"before the limit", 200 * time.Millisecond, 0, false, true, true, false},
		{"not checked yet", 300 * time.Millisecond, 0, false, true, false, false},
		{"in a queue", 300 * time.Millisecond, time.Second, false, true, true, false},
		{"longer than any queue", firstEventHard, 10 * time.Second, false, true, true, true},
		{"stage lost", 300 * time.Millisecond, 0, true, true, true, false},
		{"new connection, or head received", 300 * time.Millisecond, 0, false, false, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			health := mangoreplica.NewHealthTracker()
			c := newStreamCall(health)
			c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(nil)}}
			if tt.wait > 0 {
				begun := time.Now().Add(-tt.wait)
				c.relay.delays.Begin(c.serviceName, "a", begun).FirstEvent(begun.Add(tt.wait))
			}
			if tt.lost {
				health.Avoid(mangoreplica.Incarnation{ID: "s"}, mangoreplica.CauseStalled, time.Minute, time.Now())
			}
			k, _ := newKeptLimiter(&silenceLimiter{call: c, target: chainTarget("r", "s")})
			k.awaitsHead = tt.awaits
			if tt.reachable {
				ended := make(chan struct{})
				close(ended)
				k.check = ended
			}
			left := k.remainingWait(tt.silent)
			is.Equal(k.gaveUp, tt.gaveUp)
			is.Equal(left <= 0, tt.gaveUp || tt.lost)
		})
	}
}
