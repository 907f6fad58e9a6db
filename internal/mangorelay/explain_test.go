package mangorelay

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// countingKept is a KeptExchanger with an idle connection to one replica that counts the requests that it is given.
type countingKept struct {
	oneIdle
	sent *int
}

func (k countingKept) ExchangeKept(context.Context, mangoconn.Endpoint, *http.Request, *mangoconn.ReadWaiter) (*mangoconn.Response, time.Duration, error) {
	*k.sent++
	return nil, 0, mangoconn.ErrNoneIdle
}

// explainFixture is a daemon in data centre a with a split model of four layers in a and b, and a plain service.
type explainFixture struct {
	relay   *Relay
	health  *mangoreplica.HealthTracker
	log     *bytes.Buffer
	sent    int
	draws   int
	view    *mangostate.View
	replica map[string]*mangoreplica.Replica
}

func newExplainFixture() *explainFixture {
	f := &explainFixture{health: mangoreplica.NewHealthTracker(), log: &bytes.Buffer{}, replica: map[string]*mangoreplica.Replica{}}
	var fleet []*mangoreplica.Replica
	add := func(id, service, dataCentre string, from, to int) {
		r := &mangoreplica.Replica{
			ID: id, Service: service, DataCentre: dataCentre, Address: id + ":1", Accelerator: "x", Slots: 10, Layers: mangoreplica.LayerRange{From: from, To: to},
		}
		fleet, f.replica[id] = append(fleet, r), r
	}
	add("a1", "s", "a", 0, 2)
	add("a2", "s", "a", 2, 4)
	add("b1", "s", "b", 0, 4)
	add("p1", "p", "a", 0, 0)
	add("p2", "p", "b", 0, 0)
	routes := []mangoroute.Route{
		{
			Name: "model", Host: "h", Prefix: "/v1", Kind: mangoroute.Stream, Resumable: true, Pipelined: true, Priority: 2, LatencyTarget: time.Second,
			Timeout: 20 * time.Second, MaxAttempts: 2, Services: []mangoroute.WeightedService{{Service: "s", Weight: 1}},
		},
		{Name: "plain", Host: "h", Prefix: "/plain", Kind: mangoroute.Idempotent, Public: true, Services: []mangoroute.WeightedService{{Service: "p", Weight: 3}, {Service: "none", Weight: 1}}},
	}
	services := []mangoroute.Service{{Name: "p"}, {Name: "s", Engine: &mangoroute.Engine{
		Layers: 4, LayerMB: 1, TokenBytes: 1e6, StepMS: 10, MeanAnswerTokens: 100, Accelerators: map[string]mangoroute.Accelerator{"x": {MemoryMB: 1004, StepFactor: 1}},
	}}}
	customers := map[string]mangoroute.Customer{"secret-1": {Name: "anna", HasPriority: true}, "secret-2": {Name: "bram"}}
	f.view = &mangostate.View{Fleet: mangoreplica.NewFleet(fleet), Table: mangoroute.New(7, routes, services, customers, true, mangoroute.Limits{})}
	logger := quietLogger()
	logger.SetOutput(f.log)
	f.relay = New(
		"a", fixedState{f.view}, nil, nil, f.health, mangobudget.New(mangobudget.Limit{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}),
		mangocrash.New("one"), WithLogger(logger), WithKeptConnections(countingKept{"a1", &f.sent}),
		WithRandom(func() float64 { f.draws++; return 0.5 }),
	)
	f.health.SetFleetLoad(nil, nil, 2, time.Now())
	f.relay.limiter = mangolimit.New(f.health, mangolimit.WithRandom(func() float64 { f.draws++; return 0.5 }))
	return f
}

// fill makes all replicas of the model full, while the demand of rank 0 needs more than fits.
func (f *explainFixture) fill() {
	load := mangoreplica.Load{Requests: 5, Tokens: 2000}
	f.health.SetFleetLoad(map[string]mangoreplica.Load{"a1": load, "a2": load, "b1": load}, nil, 2, time.Now())
	f.relay.demand.SetFleet(mangocapacity.Report{Demand: map[mangocapacity.DemandKey]mangocapacity.Demand{
		{Service: "s", DataCentre: "a"}: {Requests: 10, Tokens: 2000, PromptTokens: 1000, TokenSteps: 200_000},
	}}, mangocapacity.Report{}, time.Now())
}

func (f *explainFixture) incarnation(id string) mangoreplica.Incarnation {
	return f.replica[id].Incarnation()
}

func modelQuery() *mangomessage.RelayExplainRequest {
	return &mangomessage.RelayExplainRequest{Method: "POST", Host: "h", Path: "/v1/x", Customer: "bram", PromptTokens: 100, AnswerTokens: 100}
}

// chain returns the ids of a target, or "" if there is none.
func chain(t *mangomessage.RelayExplainedTarget) string {
	var ids []string
	for _, s := range t.GetStages() {
		ids = append(ids, s.GetReplica())
	}
	return strings.Join(ids, " ")
}

// Guards against a data centre that is cut off and costs an hour more, or a plain replica there that gets no requests, without the reason.
func TestExplainCutOff(t *testing.T) {
	is := is.New(t)
	f := newExplainFixture()
	f.relay.links = cutLinks{cut: map[string]bool{"b": true}}
	reply, err := f.relay.Explain(modelQuery())
	is.NoErr(err)
	s := reply.GetServices()[0]
	is.Equal(chain(s.GetChosen()), "a1 a2")
	is.Equal(s.GetDataCentres()[0].GetReason(), "")
	is.Equal(chain(s.GetDataCentres()[1].GetCheapest()), "b1")
	is.True(strings.Contains(s.GetDataCentres()[1].GetReason(), "cut off"))
	is.True(s.GetReplicas()[2].GetExcluded())
	is.Equal(s.GetReplicas()[2].GetNotes()[0].GetKind(), "cut_off")
	reply, err = f.relay.Explain(&mangomessage.RelayExplainRequest{Host: "h", Path: "/plain"})
	is.NoErr(err)
	p := reply.GetServices()[0].GetReplicas()
	is.True(!p[0].GetExcluded() && p[1].GetExcluded())
	is.Equal(p[1].GetNotes()[0].GetKind(), "cut_off")
}

// Guards against an explanation that differs from what the daemon would do, by the state that excludes a replica or makes it
// expensive; and against a replica without the reason.
func TestExplainByState(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		change func(f *explainFixture)
		chosen string
		// note is one that the replica a1 has, and inA a part of the reason for which data centre a has no chain.
		note, inA string
		excluded  bool
	}{
		{"local", func(*explainFixture) {}, "a1 a2", "", "", false},
		{"avoided", func(f *explainFixture) {
			f.health.Avoid(f.incarnation("a1"), mangoreplica.CauseReset, time.Minute, now)
		}, "b1", "avoided Reset", "", true},
		{"ended", func(f *explainFixture) {
			f.health.Avoid(f.incarnation("a1"), mangoreplica.CauseEnded, time.Minute, now)
		}, "b1", "avoided Ended", "layers 0-2", true},
		{"leaving", func(f *explainFixture) { f.health.MarkLeaving(f.incarnation("a1"), now) }, "b1", "leaving ", "layers 0-2", true},
		{"paused", func(f *explainFixture) { f.health.Pause(f.incarnation("a1"), time.Minute, now) }, "b1", "paused ", "layers 0-2", true},
		{"full", func(f *explainFixture) { f.health.MarkFull("a1", 1, now.Add(time.Minute)) }, "b1", "full ", "layers 0-2", true},
		{"draining", func(f *explainFixture) { f.replica["a1"].Draining = true }, "b1", "draining ", "layers 0-2", true},
		{"slow", func(f *explainFixture) {
			f.health.RecordPace(mangoreplica.Pace{Replica: f.incarnation("a1"), Slowness: 100, At: now})
		}, "b1", "slow ", "", false},
		{"over its limit", func(f *explainFixture) {
			f.relay.limiter.Record(mangolimit.Limit{Replica: f.incarnation("a1"), Service: "s", Named: true, PerSecond: 0.1, At: now})
			for range 9 {
				f.relay.limiter.CountSend(f.incarnation("a1"), now)
			}
		}, "b1", "limited ", "layers 0-1", true},
		{"no chain anywhere", func(f *explainFixture) { f.replica["a1"].Draining, f.replica["b1"].Draining = true, true }, "", "draining ", "layers 0-2", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newExplainFixture()
			tt.change(f)
			reply, err := f.relay.Explain(modelQuery())
			is.NoErr(err)
			s := reply.GetServices()[0]
			is.Equal(chain(s.GetChosen()), tt.chosen)
			is.Equal(s.GetReason() != "", tt.chosen == "")
			is.Equal(s.GetDataCentres()[0].GetName(), "a")
			is.Equal(s.GetDataCentres()[0].GetCheapest() == nil, tt.inA != "")
			is.True(strings.Contains(s.GetDataCentres()[0].GetReason(), tt.inA))
			is.Equal(s.GetReplicas()[0].GetExcluded(), tt.excluded)
			notes := ""
			for _, n := range s.GetReplicas()[0].GetNotes() {
				notes += n.GetKind() + " " + n.GetCause()
			}
			is.Equal(notes, tt.note)
			// Serving chooses the same chain. A draw of limits is random, so it is left out there.
			if tt.name != "over its limit" {
				c := f.relay.newCall(&Request{Host: "h", Path: "/v1/x", APIKey: "secret-2", PromptTokens: 100, AnswerTokens: 100})
				_, _, _ = c.findRoute()
				c.setService("s")
				served, _ := c.chooseTarget()
				is.Equal(strings.Join(served.replicaIDs, " "), tt.chosen)
			}
		})
	}
}

// Guards against explanations that prefer the first data centre by name instead of the one to which most requests go.
func TestExplainPrefersLargestShare(t *testing.T) {
	for used, want := range map[float64]string{1420: "a1 a2", 1680: "b1"} { // 0.004 and 0.58 of the requests leave data centre a.
		is := is.New(t)
		f := newExplainFixture()
		load := mangoreplica.Load{Requests: 1, Tokens: used}
		f.health.SetFleetLoad(map[string]mangoreplica.Load{"a1": load, "a2": load}, nil, 2, time.Now())
		q := modelQuery()
		q.PromptTokens, q.AnswerTokens = 10, 10
		reply, err := f.relay.Explain(q)
		is.NoErr(err)
		is.Equal(chain(reply.GetServices()[0].GetChosen()), want)
	}
}

// Guards against a decision on admission without its numbers, or one that differs from that of a request that arrives.
func TestExplainAdmission(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *explainFixture, q *mangomessage.RelayExplainRequest)
		share  float64
		reason string
	}{
		{"room", func(*explainFixture, *mangomessage.RelayExplainRequest) {}, 1, "local_wait"},
		{"short, least urgent", func(f *explainFixture, _ *mangomessage.RelayExplainRequest) { f.fill() }, 0.1, "memory"},
		{"short, returning", func(f *explainFixture, q *mangomessage.RelayExplainRequest) {
			f.fill()
			q.Returning = true
		}, 0.03, "memory"},
		{"short, returning with all its time", func(f *explainFixture, q *mangomessage.RelayExplainRequest) {
			f.fill()
			q.Returning, q.DeadlineMs = true, 20_000
		}, 0.03, "memory"},
		{"short, a resumable plain request", func(f *explainFixture, q *mangomessage.RelayExplainRequest) {
			f.fill()
			q.Path = "/plain"
		}, 1, "no_limit"},
		{"waits seen here", func(f *explainFixture, _ *mangomessage.RelayExplainRequest) {
			for range 20 {
				f.relay.delays.Begin("s", "a", time.Now().Add(-5*time.Second))
				f.relay.delays.Begin("s", "b", time.Now().Add(-5*time.Second))
			}
		}, 0, "local_wait"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newExplainFixture()
				q := modelQuery()
				tt.change(f, q)
				reply, err := f.relay.Explain(q)
				is.NoErr(err)
				a := reply.GetServices()[0].GetAdmission()
				is.Equal(a.GetReason(), tt.reason)
				is.True(a.GetShare() > tt.share-0.01 && a.GetShare() < tt.share+0.01)
				is.Equal(a.GetRetryAfterMinMs() > 0, tt.share < 1)
				is.True(a.GetRetryAfterMinMs() <= a.GetRetryAfterMaxMs())
				is.Equal(a.GetRoom() > 0 && a.GetDemand() > a.GetRoom() && a.ViewAgeMs != nil, tt.reason == "memory")
				is.Equal(reply.GetReturning(), q.GetReturning())
			})
		})
	}
}

// Guards against a request that is refused by the shared view while its explanation counts less demand: the request itself.
func TestExplainCountsTheRequestAsServingDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newExplainFixture()
		f.fill()
		q := modelQuery()
		reply, err := f.relay.Explain(q)
		is.NoErr(err)
		c := f.relay.newCall(&Request{Host: "h", Path: "/v1/x", APIKey: "secret-2", PromptTokens: 100, AnswerTokens: 100, ArrivedAt: time.Now()})
		_, _, _ = c.findRoute()
		c.setService("s")
		now := time.Now()
		f.relay.demand.Arrive("s", "a", c.class(), c.work(), now)
		d := c.decide(f.relay.demand.View("s", c.capacitySites(now), c.relay.links, now), 0.5, now)
		a := reply.GetServices()[0].GetAdmission()
		is.True(a.GetDemand()/d.Demand > 0.99 && a.GetDemand()/d.Demand < 1.01)
		is.True(a.GetRoom()/d.Room > 0.99 && a.GetRoom()/d.Room < 1.01)
	})
}

// Guards against plain services without the cost of each replica, and services of a route that are left out.
func TestExplainPlainService(t *testing.T) {
	is := is.New(t)
	f := newExplainFixture()
	f.health.BeginRequest(1, "p1")
	reply, err := f.relay.Explain(&mangomessage.RelayExplainRequest{Host: "h:80", Path: "/plain"})
	is.NoErr(err)
	is.Equal(reply.GetRoute(), "plain")
	is.Equal(len(reply.GetServices()), 2)
	s := reply.GetServices()[0]
	is.Equal(s.GetShare(), 0.75)
	is.Equal(chain(s.GetChosen()), "p1")
	is.Equal(len(s.GetDataCentres()), 0)
	is.Equal(s.GetReplicas()[0].GetCost(), 0.1)
	is.Equal(s.GetReplicas()[1].GetCost(), remotePenalty)
	is.True(strings.Contains(reply.GetServices()[1].GetReason(), "no usable replica"))
}

// Guards against queries that are answered by a guess, or whose refusal does not say what is wrong, or says the key.
func TestExplainRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *explainFixture, q *mangomessage.RelayExplainRequest)
		kind   Kind
		want   string
	}{
		{"no configuration", func(f *explainFixture, _ *mangomessage.RelayExplainRequest) { f.view.Table = nil }, KindUnavailable, "no configuration"},
		{"unknown host", func(_ *explainFixture, q *mangomessage.RelayExplainRequest) { q.Host = "x" }, KindNotFound, `host "x"`},
		{"unknown path", func(_ *explainFixture, q *mangomessage.RelayExplainRequest) { q.Path = "/x" }, KindNotFound, `path "/x"`},
		{"unknown customer", func(_ *explainFixture, q *mangomessage.RelayExplainRequest) { q.Customer = "x" }, KindNotFound, `customer "x"`},
		{"unknown key", func(_ *explainFixture, q *mangomessage.RelayExplainRequest) { q.Customer, q.Key = "", "secret-3" }, KindNotFound, "given key"},
		{"no customer", func(_ *explainFixture, q *mangomessage.RelayExplainRequest) { q.Customer = "" }, KindNotFound, "needs a customer"},
		{"name and key", func(_ *explainFixture, q *mangomessage.RelayExplainRequest) { q.Key = "secret-1" }, KindInvalid, "only one"},
		{"no host", func(_ *explainFixture, q *mangomessage.RelayExplainRequest) { q.Host = "" }, KindInvalid, "Host"},
		{"wrong path", func(_ *explainFixture, q *mangomessage.RelayExplainRequest) { q.Path = "v1" }, KindInvalid, "Path"},
		{"negative number", func(_ *explainFixture, q *mangomessage.RelayExplainRequest) { q.PromptTokens = -1 }, KindInvalid, "PromptTokens is -1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newExplainFixture()
			q := modelQuery()
			tt.change(f, q)
			_, err := f.relay.Explain(q)
			var failure *Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Kind, tt.kind)
			is.True(strings.Contains(err.Error(), tt.want))
			is.True(!strings.Contains(err.Error()+f.log.String(), "secret"))
		})
	}
}

// Guards against an explanation that names no kept connection although the first stage has one, and leaves out the rank, version
// and retries.
func TestExplainDescribesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newExplainFixture()
		reply, err := f.relay.Explain(&mangomessage.RelayExplainRequest{Host: "h", Path: "/v1", Key: "secret-1", DeadlineMs: 3000})
		is.NoErr(err)
		is.Equal(reply.GetCustomer(), "anna")
		is.Equal(reply.GetRank(), int32(0))
		is.Equal(reply.GetTimeLeftMs(), int64(3000))
		is.True(!reply.GetReturning()) // The service has ranks, so the time left does not matter.
		is.Equal(reply.GetVersion(), uint64(7))
		s := reply.GetServices()[0]
		is.True(s.GetChosen().GetKept())
		is.True(s.GetChosen().GetCostMicros() > 0)
		is.Equal(s.GetChosen().GetStages()[1].GetToLayer(), int32(4))
		is.True(s.GetRetriesLeft() > 0)
		is.Equal(s.GetRetryReserve(), budgetShareForStreams)
	})
}
