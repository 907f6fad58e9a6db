package mangorelay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"mangopath.org/mangopath/internal/mangobalance"
	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangodelay"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangomemory"
	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// answerMargin is how long before the caller's deadline the relay stops trying, so that its final answer still arrives in
// time.
const answerMargin = 20 * time.Millisecond

// defaultTimeout bounds a request for which neither the caller nor the route sets a time.
const defaultTimeout = 10 * time.Minute

// Values of the Retry-After header of refusals.
const (
	// retryAfterNoConfiguration is for a daemon that has no configuration yet; the store answers within one or two
	// seconds.
	retryAfterNoConfiguration = time.Second
	// retryAfterNoUpstream is for a service without a usable upstream; an engine takes about two seconds to load its
	// layers.
	retryAfterNoUpstream = 2 * time.Second
	// retryAfterNotResent is for a request that may not be sent again, mostly because the upstreams that it was sent to
	// are full.
	retryAfterNotResent = 500 * time.Millisecond
	// retryAfterStopping is for a daemon that is stopping; the caller can go to another daemon at once.
	retryAfterStopping = 100 * time.Millisecond
	// retryAfterCondemned is for a request that is known to crash upstreams.
	retryAfterCondemned = 5 * time.Second
)

// call is the state of one request of a caller, from its arrival to the final answer.
type call struct {
	relay       *Relay
	request     *Request
	writer      http.ResponseWriter
	control     *http.ResponseController
	view        *mangostate.View
	route       *mangoroute.Route
	service     *mangoroute.Service
	serviceName string
	customer    mangoroute.Customer
	// identity is what the request is known by when replicas crash.
	identity mangocrash.Request
	// begunSafely says that the parts of the prompt have been cleared, since the answer has begun.
	begunSafely bool
	// deadline is when the final answer is due.
	deadline time.Time

	// failedReplicas has the ids of replicas that failed this request, and refusingReplicas those that refused to run it,
	// mostly for lack of capacity. The latter may be tried again after the request has waited for a target.
	failedReplicas   map[string]bool
	refusingReplicas map[string]bool
	// unansweredFirst is the id of the first replica that last gave no answer to an order to change the path; the request does
	// not restart there if it can begin elsewhere. turn is the place of a restart among those of this daemon; nil without one.
	unansweredFirst string
	turn            *mangorecovery.Turn
	// sentTo is the first replica of the last send.
	sentTo *mangoreplica.Replica
	// draw says which replicas with a limit the next send may go to, and overLimit that there was no target but for limits.
	draw      mangolimit.Draw
	overLimit bool
	// retryPenalties has by data centre what earlier sends of this request add to the cost of targets there.
	retryPenalties map[string]time.Duration
	// refusalsInRow counts the sends of a started stream in a row that gave no event.
	refusalsInRow int
	// sends counts all sends of the request, sendsArrived those that reached an upstream.
	sends        int
	sendsArrived int
	// hasRetry says that a retry has been taken from the budget for the next send.
	hasRetry bool
	// failedAnswer is the last complete answer with a status of 500 or above; it is passed on if no later send succeeds.
	failedAnswer *bufferedAnswer
	// gate lets the answer begin unless the daemon begins none any more.
	gate answerGate
	// started says that the head of the answer has been written to the caller.
	started bool
	// streamType is the Content-Type of that head.
	streamType string
	// firstEventDelay is the time from the arrival of the request to the first event.
	firstEventDelay time.Duration
	// lastEventAt is when events were last passed on, and longestGap the longest gap between two such times.
	lastEventAt time.Time
	longestGap  time.Duration
	// meanGap is the moving mean of these gaps, and gaps estimates from those on the present chain when an event is overdue.
	meanGap time.Duration
	gaps    gapEstimator
	// sendStartedAt is when the last send began, and sendFirstEventDelay the time from then to its first event.
	sendStartedAt       time.Time
	sendFirstEventDelay time.Duration
	// mayHaveRunOn has the ids of replicas that may have run the request; of a chain, that of its first replica.
	mayHaveRunOn map[string]bool
	// firstEventWait measures how long the last send waits for its first event; nil for plain services and started
	// streams.
	firstEventWait *mangodelay.PendingRequest
	// progress tells the tracker of demand the same of the last send, and when it ends; nil if the service has one rank.
	progress *mangocapacity.Send
	// ranks has the ranks of the requests of the service, the most urgent first, and judged says that the shared view has decided on
	// the request.
	ranks  []mangoroute.Rank
	judged bool
	// returning says that a daemon refused the request before, and that its caller comes back at the time that it was told.
	returning bool
	// large says that the request needs much more memory than the mean of its class.
	large bool
	// demandAt has the memory that the demand of each data centre would take, as the decision on the request saw it; nil if unknown.
	demandAt map[string]float64
	// balanced says that shares and preferred are set: the share of new requests for each data centre, and the one that was drawn.
	balanced  bool
	shares    []mangobalance.Share
	preferred string
	// inFlight is the entry of the last send in the index of requests in flight.
	inFlight *inFlightRequest
	events   eventBuffer
	// position is what the caller has of a stream.
	position streamPosition
	status   int
	outcome  string
	// answerStatus is the HTTP status of the upstream's last answer, and refusedByReplica the id of the replica that
	// caused the last refusal.
	answerStatus     int
	refusedByReplica string
	// suspicion is the number of crashes that counted against a part of the prompt at the last send.
	suspicion int
	// isTrial says that the request runs to show whether it still crashes replicas.
	isTrial bool
	// refusal is why the request was refused as one that crashes replicas.
	refusal mangocrash.Refusal
	// memory is what the request keeps of its answers.
	memory *mangomemory.Account
}

// newCall returns the call of a request, without what is needed to answer it.
func (r *Relay) newCall(request *Request) *call {
	return &call{
		relay: r, request: request, view: r.state.View(),
		failedReplicas: map[string]bool{}, refusingReplicas: map[string]bool{}, mayHaveRunOn: map[string]bool{}, retryPenalties: map[string]time.Duration{},
	}
}

// Serve answers one request. It returns false if the answer is incomplete, so that the caller's connection must be
// closed.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, request *Request) bool {
	c := r.newCall(request)
	c.writer, c.control, c.memory = w, http.NewResponseController(w), r.memory.Open()
	defer c.memory.Close()
	defer r.running.begin(request)()
	c.position.last, c.position.known = request.LastEventID, request.Resumes
	whole := c.serve(ctx)
	c.logDone(whole)
	return whole
}

func (c *call) serve(ctx context.Context) bool {
	if !c.admit() {
		return true
	}
	// Two seconds beyond the deadline let a write that has begun finish.
	_ = c.control.SetWriteDeadline(c.deadline.Add(2 * time.Second))
	deadlineCtx, cancel := context.WithDeadline(ctx, c.deadline.Add(-answerMargin))
	defer cancel()
	// At the end of a stop the request ends as if its deadline had passed.
	defer c.endWithShutdown(cancel)() //nolint:contextcheck // The contexts are those of the stop.
	return c.sendUntilDone(ctx, deadlineCtx)
}

// admit finds the route and the customer of the request and picks its service. If the request is not allowed, it writes a
// refusal and returns false.
func (c *call) admit() bool {
	if reason, status, retryAfter := c.findRoute(); reason != "" {
		c.writeRefusal(reason, status, retryAfter)
		return false
	}
	c.position.resumable = c.route.Repeatable()
	c.setService(c.route.PickService(c.relay.random()))
	c.relay.budget.CountRequest(c.serviceName, time.Now())
	c.identity = c.computeIdentity()
	c.setReturning(time.Now())
	var refused bool
	if c.refusal, refused, c.isTrial = c.relay.crashes.Admit(c.identity, time.Now()); refused {
		c.writeRefusal(outcomeCrashesUpstreams, http.StatusServiceUnavailable, c.retryAfterSuspicion())
		return false
	}
	return true
}

// findRoute finds the route and the customer of the request. If the request is not allowed, it returns the reason with the status
// and the Retry-After time of the refusal.
func (c *call) findRoute() (reason string, status int, retryAfter time.Duration) {
	table := c.view.Table
	if table == nil {
		return outcomeNoConfiguration, http.StatusServiceUnavailable, retryAfterNoConfiguration
	}
	route, ok := table.Match(c.request.Host, c.request.Path)
	if !ok {
		return outcomeNoRoute, http.StatusNotFound, 0
	}
	c.route = route
	if table.KeyRequired() && !route.Public {
		if c.customer, ok = table.Customer(c.request.APIKey); !ok {
			return outcomeUnknownKey, http.StatusUnauthorized, 0
		}
	}
	if !c.canFinishBeforeShutdown(time.Now()) {
		return outcomeStopping, http.StatusServiceUnavailable, retryAfterStopping
	}
	return "", 0, 0
}

// setService sets the service of the request, with what follows from it and from the route.
func (c *call) setService(name string) {
	c.serviceName = name
	c.service = c.view.Table.Service(name)
	c.ranks = c.view.Table.Ranks(name)
	c.deadline = c.computeDeadline()
}

// computeDeadline returns the earlier of the caller's and the route's deadline, or defaultTimeout from the arrival if neither
// sets one.
func (c *call) computeDeadline() time.Time {
	timeout := c.request.CallerTimeout
	if c.route.Timeout > 0 && (timeout <= 0 || c.route.Timeout < timeout) {
		timeout = c.route.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return c.request.ArrivedAt.Add(timeout)
}

// finishUndelivered gives the final answer to a request that no send has delivered: the last failed answer of an
// upstream, or a refusal. It returns false if the answer has been started, which is then incomplete.
func (c *call) finishUndelivered(reason string, retryAfter time.Duration) bool {
	if c.endedByShutdown() {
		reason, retryAfter = outcomeStopping, retryAfterStopping
	}
	switch {
	case c.started:
		c.outcome = reason
		return false
	case c.failedAnswer != nil:
		c.outcome = "UpstreamFailed"
		c.status = c.failedAnswer.head.Status
		c.failedAnswer.write(c)
		return true
	case len(c.mayHaveRunOn) == 0:
		// No upstream has run the request or will, since each send was refused or had no connection. Only then is the
		// refusal a 503.
		c.writeRefusal(reason, http.StatusServiceUnavailable, retryAfter)
	case reason == "Expired":
		c.writeRefusal(reason, http.StatusGatewayTimeout, 0)
	default:
		c.writeRefusal(reason, http.StatusBadGateway, 0)
	}
	return true
}

// writeRefusal writes an error answer of the daemon itself.
func (c *call) writeRefusal(reason string, status int, retryAfter time.Duration) {
	c.outcome, c.status = reason, status
	header := c.writer.Header()
	if retryAfter > 0 {
		c.recordRefusal(reason, retryAfter, time.Now())
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Type", "application/json")
	if c.relay.isStopping() {
		header.Set("Connection", "close")
	}
	body := []byte(`{"Error":"` + reason + `"}`)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(status)
	// The write fails if the caller has left; there is nobody to tell.
	_, _ = c.writer.Write(body)
}
