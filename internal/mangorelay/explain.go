package mangorelay

import (
	"io"
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxExplainNumber bounds the numbers of tokens and milliseconds of a query.
const maxExplainNumber = math.MaxInt32

// reasonNoLimit is the reason of admissions for which neither the view of all daemons nor a wait counts.
const reasonNoLimit = "no_limit"

// almostOne is the highest value that Relay.random can return, as it is below 1.
var almostOne = math.Nextafter(1, 0)

// Explain returns where a request with some properties would go now, and why. It decides by the code that serves requests, on a
// relay without effects: nothing is counted, drawn, logged or sent. The error is of type *Error.
func (r *Relay) Explain(q *mangomessage.RelayExplainRequest) (*mangomessage.RelayExplainReply, error) {
	if err := validateQuery(q); err != nil {
		return nil, &Error{Op: "Explain", Kind: KindInvalid, Err: err}
	}
	c := r.withoutEffects().newCall(&Request{
		// Only requests with an id use kept connections.
		ID: "explain", Method: q.GetMethod(), Path: q.GetPath(), Host: q.GetHost(), APIKey: q.GetKey(), ArrivedAt: time.Now(),
		CallerTimeout: time.Duration(q.GetDeadlineMs()) * time.Millisecond,
		PromptTokens:  int(q.GetPromptTokens()), AnswerTokens: int(q.GetAnswerTokens()), AnswerHint: int(q.GetAnswerHint()),
	})
	if err := c.applyQuery(q); err != nil {
		return nil, err
	}
	return c.explain(), nil
}

// withoutEffects returns a relay that decides by the present state of this one and has no effects. Its random numbers are 0, which
// leaves out the random part of costs. It shares the trackers of
// this relay, so its calls may use only methods of them that count nothing.
func (r *Relay) withoutEffects() *Relay {
	quiet := *r
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	quiet.state, quiet.logger, quiet.random = pinnedState{r.state.View()}, logger, func() float64 { return 0 }
	quiet.dialer, quiet.prober, quiet.peers, quiet.slowReplicas, quiet.observer = nil, noProber{}, noPeerNotifier{}, noSlowReplicaFinder{}, noObserver{}
	return &quiet
}

// pinnedState is a State that does not change.
type pinnedState struct{ view *mangostate.View }

// View implements State.
func (s pinnedState) View() *mangostate.View { return s.view }

// validateQuery checks the properties of a request that do not depend on the configuration.
func validateQuery(q *mangomessage.RelayExplainRequest) error {
	if q.GetHost() == "" {
		return errors.New("Host is empty; it is the host that the request names")
	}
	if !strings.HasPrefix(q.GetPath(), "/") {
		return errors.Errorf("Path is %q; it begins with /", q.GetPath())
	}
	if q.GetCustomer() != "" && q.GetKey() != "" {
		return errors.New("only one of Customer and Key can be given")
	}
	for _, n := range []struct {
		name  string
		value int64
	}{
		{"PromptTokens", q.GetPromptTokens()}, {"AnswerTokens", q.GetAnswerTokens()}, {"AnswerHint", q.GetAnswerHint()}, {"DeadlineMs", q.GetDeadlineMs()},
	} {
		if n.value < 0 || n.value > maxExplainNumber {
			return errors.Errorf("%s is %d; allowed: 0 to %d", n.name, n.value, maxExplainNumber)
		}
	}
	return nil
}

// applyQuery finds the route and the customer, and sets whether the caller returns.
func (c *call) applyQuery(q *mangomessage.RelayExplainRequest) error {
	table := c.view.Table
	if table != nil && q.GetCustomer() != "" {
		key, ok := table.KeyOf(q.GetCustomer())
		if !ok {
			return notFound("the configuration has no customer %q", q.GetCustomer())
		}
		c.request.APIKey = key
	}
	reason, _, _ := c.findRoute()
	switch reason {
	case "":
		c.returning = q.GetReturning()
		return nil
	case outcomeNoConfiguration:
		return &Error{Op: "Explain", Kind: KindUnavailable, Err: errors.New("the daemon has no configuration yet")}
	case outcomeStopping:
		return &Error{Op: "Explain", Kind: KindUnavailable, Err: errors.New("the daemon stops and would refuse the request")}
	case outcomeUnknownKey:
		if q.GetKey() == "" {
			return notFound("route %s needs a customer, by name or by key", c.route.Name)
		}
		return notFound("no customer has the given key")
	}
	if !table.HasHost(q.GetHost()) {
		return notFound("the configuration has no route for host %q", q.GetHost())
	}
	return notFound("host %q has no route for path %q", q.GetHost(), q.GetPath())
}

func notFound(format string, args ...any) error {
	return &Error{Op: "Explain", Kind: KindNotFound, Err: errors.Errorf(format, args...)}
}

// explain returns the explanation of a request whose route and customer are known.
func (c *call) explain() *mangomessage.RelayExplainReply {
	reply := &mangomessage.RelayExplainReply{
		Method: c.request.Method, Host: c.request.Host, Path: c.request.Path, Route: c.route.Name, Kind: c.route.Kind.String(),
		Customer: c.customer.Name, Rank: int32(c.rank().Priority), RoutePriority: int32(c.rank().RoutePriority), DataCentre: c.relay.localDataCentre,
		TimeLeftMs: c.computeDeadline().Sub(c.request.ArrivedAt).Milliseconds(), Version: c.view.Table.Version(),
	}
	total := 0.0
	for _, s := range c.route.Services {
		total += s.Weight
	}
	for _, s := range c.route.Services {
		reply.Services = append(reply.Services, c.explainService(s, total))
		// Whether the time left shows a returning caller depends on the ranks of each service.
		reply.Returning = reply.Returning || c.isReturning()
	}
	return reply
}

// explainService returns what would happen if the service were picked for the request. total is the weight of all services of the route.
func (c *call) explainService(w mangoroute.WeightedService, total float64) *mangomessage.RelayExplainedService {
	now := time.Now()
	c.setService(w.Service)
	chances, draw := c.relay.limiter.Preview(c.serviceName, now)
	c.draw = draw
	s := &mangomessage.RelayExplainedService{
		Service: w.Service, RetriesLeft: c.relay.budget.RemainingAmong(c.serviceName, c.relay.health.Daemons(), now), RetryReserve: c.reservedBudgetShare(),
	}
	if total > 0 {
		s.Share = w.Weight / total
	}
	c.preferLargestShare(now)
	t, found := c.chooseTarget()
	if found {
		s.Chosen = c.explainTarget(t, now)
	} else {
		s.Reason = c.explainNoTarget()
	}
	s.Admission = c.explainAdmission(t, found, now)
	if c.needsChain() {
		s.DataCentres = c.explainDataCentres(now)
	}
	s.Replicas = c.explainReplicas(t, chances, now)
	return s
}

// preferLargestShare sets the preferred data centre to the one with the largest share of new requests. Requests that are served draw
// it at random. The random number of an explanation is 0, with which a draw always gives the first data centre that has a share.
func (c *call) preferLargestShare(now time.Time) {
	// One call explains all services of the route, so the choice for the service before is reset.
	c.balanced, c.shares, c.preferred, c.demandAt = true, nil, "", nil
	if !c.needsChain() {
		return
	}
	if c.isStreamOfRanks() {
		c.demandAt = currentDemand(c.viewAfter(now))
	}
	c.shares = c.dataCentreShares(c.pipelineView(c.withoutCutOff(c.relay.state.View().Fleet.ByService(c.serviceName))))
	largest := 0.0
	for _, s := range c.shares {
		if s.Share > largest {
			c.preferred, largest = s.DataCentre, s.Share
		}
	}
}

// viewAfter returns the shared view as it would be after the arrival of the request.
func (c *call) viewAfter(now time.Time) mangocapacity.View {
	return c.relay.demand.ViewAfter(c.serviceName, c.relay.localDataCentre, c.class(), c.work(), c.capacitySites(now), c.relay.links, now)
}

// explainAdmission returns the decision on a new stream: by the view of all daemons, or by the wait at the target if that view decides
// nothing. found says that there is a target.
func (c *call) explainAdmission(t target, found bool, now time.Time) *mangomessage.RelayExplainedAdmission {
	if c.isStreamOfRanks() {
		if a, judged := c.explainDecision(c.viewAfter(now), now); judged {
			return a
		}
	}
	if !found || !c.hasWaitLimit(t) {
		return &mangomessage.RelayExplainedAdmission{Share: 1, Reason: reasonNoLimit}
	}
	wait, from, all := c.waitLimits(t)
	milliseconds := func(targets float64) int64 {
		return time.Duration(targets * float64(c.route.LatencyTarget)).Milliseconds()
	}
	a := &mangomessage.RelayExplainedAdmission{
		Share: 1 - min(max((wait-from)/(all-from), 0), 1), Reason: reasonLocalWait, WaitMs: milliseconds(wait),
		RefuseSomeFromMs: milliseconds(from), RefuseAllFromMs: milliseconds(all),
	}
	if a.Share < 1 {
		least, most := c.localRetryAfterRange()
		a.RetryAfterMinMs, a.RetryAfterMaxMs = least.Milliseconds(), most.Milliseconds()
	}
	return a
}

// localRetryAfterRange returns the Retry-After times of a local refusal for the lowest and the highest random number. It leaves the
// random number of the relay, which is a copy without effects, at 0.
func (c *call) localRetryAfterRange() (least, most time.Duration) {
	least = c.localRetryAfter()
	c.relay.random = func() float64 { return almostOne }
	most = c.localRetryAfter()
	c.relay.random = func() float64 { return 0 }
	return least, most
}

// explainDecision returns the decision by a view; judged is false if the view decides nothing.
func (c *call) explainDecision(view mangocapacity.View, now time.Time) (a *mangomessage.RelayExplainedAdmission, judged bool) {
	d := c.decide(view, 0, now)
	if d.Reason == mangocapacity.ReasonNoView {
		return nil, false
	}
	age := view.Age.Milliseconds()
	a = &mangomessage.RelayExplainedAdmission{Share: d.Share, Reason: string(d.Reason), Room: d.Room, Demand: d.Demand, ViewAgeMs: &age}
	if d.Share < 1 {
		// Requests with a random number from the share on are refused; the Retry-After time falls from there to 1.
		a.RetryAfterMaxMs = c.decide(view, d.Share, now).RetryAfter.Milliseconds()
		a.RetryAfterMinMs = c.decide(view, almostOne, now).RetryAfter.Milliseconds()
	}
	return a, true
}
