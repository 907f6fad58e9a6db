package mangorelay

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangohub"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// shortCall returns a call of a service with the ranks 0 and 2 whose only replica is full, as all daemons report, while the demand
// of rank 0 alone needs more than fits.
func shortCall(t *testing.T, out *bytes.Buffer, rank int) *call {
	t.Helper()
	health := mangoreplica.NewHealthTracker()
	c := newStreamCall(health)
	c.relay.logger.(*logrus.Logger).SetOutput(out)
	c.route = &mangoroute.Route{Name: "r", Kind: mangoroute.Stream, Pipelined: true, Priority: rank, LatencyTarget: time.Second, Timeout: 20 * time.Second}
	c.service = &mangoroute.Service{Name: "s", Engine: &mangoroute.Engine{
		Layers: 1, LayerMB: 1, TokenBytes: 1e6, MeanAnswerTokens: 100, Accelerators: map[string]mangoroute.Accelerator{"x": {MemoryMB: 1001}},
	}}
	c.serviceName, c.ranks, c.deadline = "s", []mangoroute.Rank{{}, {Priority: 2, RoutePriority: 2}}, time.Now().Add(20*time.Second)
	c.request.PromptTokens, c.request.AnswerTokens, c.request.CallerTimeout = 100, 100, 20*time.Second
	replica := &mangoreplica.Replica{ID: "i", Service: "s", DataCentre: "a", Accelerator: "x", Layers: mangoreplica.LayerRange{To: 1}}
	c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{replica})}}
	health.SetFleetLoad(map[string]mangoreplica.Load{"i": {Requests: 5, Tokens: 1000}}, nil, 2, time.Now())
	c.relay.demand.SetFleet(mangocapacity.Report{Demand: map[mangocapacity.DemandKey]mangocapacity.Demand{
		{Service: "s", DataCentre: "a"}: {Requests: 10, Tokens: 2000, PromptTokens: 1000, TokenSteps: 200_000},
	}}, mangocapacity.Report{}, time.Now())
	return c
}

// Guards against refusals of what must not be refused: deployments without ranks, started streams and plain services; and against
// refusals without a time or without a line that says why; and against shares of data centres that are computed from old demand.
func TestRefuseForShortage(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *call)
		judged bool
		want   bool
	}{
		{"the least urgent", func(*call) {}, true, true},
		{"one rank only", func(c *call) { c.ranks = []mangoroute.Rank{{Priority: 2, RoutePriority: 2}} }, false, false},
		{"a stream that goes on", func(c *call) { c.request.Resumes = true }, false, false},
		{"a plain service", func(c *call) { c.route.Pipelined = false }, false, false},
		{"no shared view", func(c *call) { c.relay.demand = mangocapacity.NewTracker() }, false, false},
		{"an old view", func(c *call) {
			c.relay.demand.SetFleet(mangocapacity.Report{}, mangocapacity.Report{}, time.Now().Add(-mangocapacity.MaxAge-time.Millisecond))
		}, false, false},
		{"room", func(c *call) { c.relay.health.SetFleetLoad(nil, nil, 2, time.Now()) }, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				c := shortCall(t, &out, 2)
				c.relay.random = func() float64 { return 0.9 }
				tt.change(c)
				retryAfter, refused := c.refuseForShortage()
				is.Equal(refused, tt.want)
				is.Equal(c.judged, tt.judged)
				is.Equal(c.demandAt != nil, tt.judged)
				is.Equal(refused, retryAfter > 0 && retryAfter <= 20*time.Second/3)
				for _, field := range []string{"event=request_shed", "rank=2", "route_priority=2", "returning=false", "tokens=150", "room=", "demand=", "share=0.1", "view_age_ms=", "retry_after_ms=", "reason=memory"} {
					is.Equal(strings.Contains(out.String(), field), tt.want)
				}
			})
		})
	}
}

// Guards against a refusal that reaches the caller late, as a failure or without a time: nothing may be sent first. Also against a
// daemon without a shared view that turns away the urgent as early as the others.
func TestShortageIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	c := shortCall(t, &bytes.Buffer{}, 2)
	routes := []mangoroute.Route{*c.route, *c.route}
	for i := range routes {
		routes[i].Host, routes[i].Prefix, routes[i].Services = "h", []string{"/least", "/most"}[i], []mangoroute.WeightedService{{Service: "s", Weight: 1}}
	}
	routes[1].Priority = 0
	view := *c.relay.state.View()
	view.Table = mangoroute.New(1, routes, []mangoroute.Service{*c.service}, nil, false, mangoroute.Limits{})
	c.relay.state, c.relay.random = fixedState{&view}, func() float64 { return 0.9 }
	recorder := httptest.NewRecorder()
	// The relay has no dialer, so a send would panic.
	is.True(c.relay.Serve(t.Context(), recorder, &Request{ID: "q", Method: http.MethodPost, Path: "/least", Host: "h", PromptTokens: 100, AnswerTokens: 100, ArrivedAt: time.Now()}))
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds >= 0.4 && seconds <= 20.0/3)
	is.Equal(c.localWaitFactor(), 0.75)
	c.route.Priority = 0
	is.Equal(c.localWaitFactor(), 1.25)
}

// Guards against callers that make themselves look small or like the demand of many.
func TestStatedWorkIsBounded(t *testing.T) {
	two := []mangoroute.Rank{{}, {Priority: 2, RoutePriority: 2}}
	tests := []struct {
		name                 string
		prompt, answer, hint int
		ranks                []mangoroute.Rank
		want                 float64
	}{
		{"without a hint", 100, 100, 0, two, 150},
		{"with a hint", 100, 100, 20, two, 110},
		{"a hint above the most", 100, 100, 5000, two, 150},
		{"a negative hint", 100, 100, -5000, two, 150},
		{"a long answer", 100, 100_000, 0, two, 200},
		{"a long prompt", 2_000_000_000, 100, 0, two, maxWorkTokens},
		{"negative numbers", -500, -500, -500, two, 1},
		{"one rank", 100, 100, 20, two[1:], 150},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := shortCall(t, &bytes.Buffer{}, 2)
			c.ranks, c.request.PromptTokens, c.request.AnswerTokens, c.request.AnswerHint = tt.ranks, tt.prompt, tt.answer, tt.hint
			w := c.work()
			is.Equal(w.Tokens, tt.want)
			is.True(w.PromptTokens >= 0 && w.PromptTokens <= maxWorkTokens && w.AnswerTokens >= 1)
		})
	}
}

// Guards against the least urgent spending the retries, and against deployments with one rank whose share of them changes.
func TestBudgetShareByRank(t *testing.T) {
	is := is.New(t)
	c := shortCall(t, &bytes.Buffer{}, 0)
	is.Equal(c.reservedBudgetShare(), budgetShareForStreams)
	c.route.Priority = 2
	is.Equal(c.reservedBudgetShare(), budgetShareForStreams+budgetShareByRank)
	c.ranks = []mangoroute.Rank{{Priority: 2, RoutePriority: 2}}
	is.Equal(c.reservedBudgetShare(), budgetShareForStreams)
	is.Equal(c.localWaitFactor(), 1.0)
}

// Guards against a refusal without a shared view whose Retry-After is above a third of the caller's time left, after which callers
// do not come back, and against a bound for services with one rank, where nothing changes.
func TestLocalRetryAfterIsBounded(t *testing.T) {
	tests := []struct {
		name  string
		ranks []mangoroute.Rank
		want  time.Duration
	}{
		{"several ranks", []mangoroute.Rank{{}, {Priority: 2, RoutePriority: 2}}, time.Second},
		{"one rank", []mangoroute.Rank{{Priority: 2, RoutePriority: 2}}, shedRetryAfterMin + shedRetryAfterSpread},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := shortCall(t, &bytes.Buffer{}, 2)
				c.ranks, c.deadline, c.relay.random = tt.ranks, time.Now().Add(3*time.Second), func() float64 { return 1 }
				retryAfter := c.shedLocally(target{dataCentre: "a"})
				is.True(retryAfter <= tt.want && retryAfter > tt.want-100*time.Millisecond)
			})
		})
	}
}

// Guards against a deadline that has just passed being taken for none, with a Retry-After of seconds for a caller that has left.
func TestNoRetryAfterOncePastDeadline(t *testing.T) {
	is := is.New(t)
	c := shortCall(t, &bytes.Buffer{}, 2)
	c.deadline, c.relay.random = time.Now().Add(-time.Millisecond), func() float64 { return 0.9 }
	retryAfter, refused := c.refuseForShortage()
	is.True(refused)
	is.Equal(retryAfter, time.Duration(0))
}

// admissionCounter counts the decisions that are observed.
type admissionCounter struct {
	noObserver
	count int
}

func (a *admissionCounter) Admission(int, int, string) { a.count++ }

// Guards against refusals of services with one rank, whose admitted streams are not counted, raising the alarm on the share of
// refusals.
func TestAdmissionsAreCountedWithRanksOnly(t *testing.T) {
	is := is.New(t)
	counter := &admissionCounter{}
	c := shortCall(t, &bytes.Buffer{}, 2)
	c.relay.observer = counter
	c.shedLocally(target{dataCentre: "a"})
	is.Equal(counter.count, 1)
	c.ranks = []mangoroute.Rank{{Priority: 2, RoutePriority: 2}}
	c.shedLocally(target{dataCentre: "a"})
	is.Equal(counter.count, 1)
}

// Guards against replicas and restarts that treat the routes of customers with one priority alike, and against classes above 9, which
// replicas do not accept.
func TestPriorityClass(t *testing.T) {
	long := make([]mangoroute.Rank, 30)
	for i := range long {
		long[i] = mangoroute.Rank{Priority: i / 10, RoutePriority: i % 10}
	}
	tests := []struct {
		name  string
		ranks []mangoroute.Rank
		rank  mangoroute.Rank
		want  int
	}{
		{"one rank", long[14:15], long[14], 1},
		{"the most urgent route of the only priority", long[10:13], long[10], 0},
		{"the least urgent one", long[10:13], long[12], 2},
		{"more ranks than classes", long, long[29], 9},
		{"a rank that the service does not list", long[10:13], long[29], 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &call{ranks: tt.ranks, route: &mangoroute.Route{Priority: tt.rank.RoutePriority}}
			c.customer = mangoroute.Customer{Priority: tt.rank.Priority, HasPriority: true}
			is.New(t).Equal(c.priorityClass(), tt.want)
		})
	}
}

// Guards against a caller that comes back as told but counts as new, at the daemon that refused it or at another one, and against one
// that is admitted first because it repeats at once.
func TestReturningCallerIsRecognised(t *testing.T) {
	is := is.New(t)
	c := shortCall(t, &bytes.Buffer{}, 2)
	c.identity = c.computeIdentity()
	now := time.Now()
	c.recordRefusal(outcomeOverloaded, time.Second, now)
	other := mangocapacity.NewTracker()
	other.SetFleet(mangohub.DecodeDemand(mangohub.EncodeDemand(c.relay.demand.Own(now), now), now), mangocapacity.Report{}, now)
	for _, tracker := range []*mangocapacity.Tracker{c.relay.demand, other} {
		again := shortCall(t, &bytes.Buffer{}, 2)
		again.relay.demand, again.identity = tracker, again.computeIdentity()
		for after, want := range map[time.Duration]bool{100 * time.Millisecond: false, time.Second: true, 2 * time.Second: true, 4 * time.Second: false} {
			again.setReturning(now.Add(after))
			is.Equal(again.isReturning(), want)
		}
		again.request.Body = []byte("another request")
		again.identity = again.computeIdentity()
		again.setReturning(now.Add(time.Second))
		is.True(!again.isReturning())
	}
}

// Guards against new callers of a service with several ranks that count as returning because of a short time left, and against callers
// that resume a stream, whose refusals are not recorded, and count as new.
func TestTimeLeftShowsReturn(t *testing.T) {
	is := is.New(t)
	for _, resumes := range []bool{false, true} {
		c := shortCall(t, &bytes.Buffer{}, 2)
		c.request.Resumes, c.request.CallerTimeout = resumes, 10*time.Second
		is.Equal(c.isReturning(), resumes)
		c.ranks = c.ranks[:1]
		is.True(c.isReturning())
	}
}
