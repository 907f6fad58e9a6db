package mangorelay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// slowCase is a request on a replica, or on a chain of two, that is silent for longer than usual.
type slowCase struct {
	// split says that the model is split, over as many chains as there are others and one.
	split bool
	kind  mangoroute.Kind
	// others is the number of other replicas or chains, and avoided and ran say what is the matter with them.
	others       int
	avoided, ran bool
	started      bool
	slack        float64
}

// limiter returns the limiter of the request's send.
func (s slowCase) limiter() *silenceLimiter {
	c := newStreamCall(mangoreplica.NewHealthTracker())
	c.mayHaveRunOn, c.started, c.serviceName, c.service = map[string]bool{}, s.started, "s", &mangoroute.Service{Name: "s"}
	c.lastEventAt = time.Now()
	c.route = &mangoroute.Route{
		Kind: s.kind, Resumable: true, Pipelined: s.split, MaxAttempts: 2, LatencyTarget: 100 * time.Millisecond, GapTarget: 200 * time.Millisecond,
	}
	c.relay.health.SetFleetLoad(nil, nil, 1, time.Now())
	c.relay.budget = mangobudget.New(mangobudget.Limit{Slack: s.slack, Window: 10 * time.Second})
	// The slack counts once the number of daemons is known.
	c.relay.budget.Available("s", 1, 0, time.Now())
	t := target{dataCentre: "a"}
	var replicas []*mangoreplica.Replica
	add := func(chain int, id string, layers mangoreplica.LayerRange) {
		r := &mangoreplica.Replica{
			ID: fmt.Sprint(id, chain), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", len(replicas)+1), DataCentre: string(rune('a' + chain)), Slots: 4, Accelerator: "medium", Layers: layers,
		}
		replicas = append(replicas, r)
		switch {
		case chain == 0 && s.split:
			t.stages = append(t.stages, mangopipeline.Stage{Replica: r, Layers: layers})
			fallthrough
		case chain == 0:
			t.replicaIDs = append(t.replicaIDs, r.ID)
		case s.avoided:
			c.relay.health.Avoid(r.Incarnation(), mangoreplica.CauseEnded, time.Minute, time.Now())
		case s.ran:
			c.failedReplicas[r.ID] = true
		}
	}
	for chain := range s.others + 1 {
		add(chain, "r", mangoreplica.LayerRange{To: 8})
		if s.split {
			replicas[len(replicas)-1].Layers.To = 4
			add(chain, "s", mangoreplica.LayerRange{From: 4, To: 8})
		}
	}
	if s.split {
		t.stages[0].Layers.To = 4
		c.service.Engine = &mangoroute.Engine{
			Layers: 8, LayerMB: 1, TokenBytes: 1, StepMS: 1, Accelerators: map[string]mangoroute.Accelerator{"medium": {MemoryMB: 1000, StepFactor: 1}},
		}
	}
	t.first = replicas[0]
	c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(replicas)}}
	return &silenceLimiter{call: c, target: t}
}

// Guards against a slow but sound replica that is given up although the request cannot be sent elsewhere, and against a silent one
// that is not given up although it can.
func TestSlowSendIsGivenUpForAlternative(t *testing.T) {
	const plain, stream = mangoroute.Idempotent, mangoroute.Stream
	tests := []struct {
		name    string
		slow    slowCase
		silent  time.Duration
		givenUp bool
	}{
		{"plain, another replica", slowCase{kind: plain, others: 1, slack: 100}, 300 * time.Millisecond, true},
		{"plain, before the limit", slowCase{kind: plain, others: 1, slack: 100}, 200 * time.Millisecond, false},
		{"plain, no budget", slowCase{kind: plain, others: 1}, time.Minute, false},
		{"plain, no other replica", slowCase{kind: plain, slack: 100}, time.Minute, false},
		{"plain, other replica avoided", slowCase{kind: plain, others: 1, avoided: true, slack: 100}, time.Minute, false},
		{"plain, other replica failed", slowCase{kind: plain, others: 1, ran: true, slack: 100}, time.Minute, false},
		{"chain, another one", slowCase{kind: stream, split: true, others: 1, slack: 100}, time.Second, true},
		{"chain, no budget", slowCase{kind: stream, split: true, others: 1}, time.Second, false},
		{"chain, no other one", slowCase{kind: stream, split: true, slack: 100}, time.Second, false},
		{"chain, no other one, started", slowCase{kind: stream, split: true, started: true, slack: 100}, time.Second, false},
		{"chain, another one, started", slowCase{kind: stream, split: true, started: true, others: 1, slack: 100}, time.Second, true},
		{"chain, other one avoided", slowCase{kind: stream, split: true, others: 1, avoided: true, slack: 100}, time.Second, false},
		{"chain, caller has left", slowCase{kind: stream, split: true}, leastTolerance, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := tt.slow.limiter()
				before := l.call.relay.budget.Remaining("s", time.Now())
				is.Equal(l.remainingWait(tt.silent) <= 0, tt.givenUp)
				if !tt.givenUp {
					is.Equal(l.call.relay.budget.Remaining("s", time.Now()), before)
				}
				is.Equal(len(l.call.mayHaveRunOn), 0)
			})
		})
	}
}

// Guards against requests that all leave their slow replica for one retry that has come free: all but one of them would end with
// 502.
func TestOneRetryEndsOneWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := slowCase{kind: mangoroute.Idempotent, others: 1, slack: 3}
		budget := slow.limiter().call.relay.budget
		givenUp := 0
		for range 100 {
			l := slow.limiter()
			l.call.relay.budget = budget
			if l.remainingWait(time.Second) <= 0 {
				givenUp++
				l.call.sends, l.call.sendsArrived = 1, 1
				is.Equal(l.call.reasonNotToSend(target{first: &mangoreplica.Replica{ID: "other"}}), "")
			}
		}
		is.Equal(givenUp, 1)
	})
}

// Guards against requests that stay with a silent replica after budget has come free, and against a search with each read.
func TestAlternativeIsLookedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := slowCase{kind: mangoroute.Idempotent, others: 1}.limiter()
		is.Equal(l.remainingWait(time.Second), alternativeInterval)
		l.call.relay.budget.SetLimit(mangobudget.Limit{Slack: 100, Window: 10 * time.Second})
		is.Equal(l.remainingWait(time.Second), alternativeInterval)
		l.alternativeAt = time.Now().Add(-alternativeInterval)
		is.Equal(l.remainingWait(time.Second), time.Duration(0))
	})
}
