package mangorelay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangodelay"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangosuspect"
)

const (
	// maxSends bounds the upstreams that are tried for one request, those that did not run it included.
	maxSends = 5
	// emptyWait is the longest wait for an upstream while none is usable, and emptyStep the time between two looks. A
	// lost replica is replaced in about two seconds, so a longer wait would seldom help.
	emptyWait = 300 * time.Millisecond
	emptyStep = 50 * time.Millisecond
	// maxStreamSends is the same for a stream that has begun, which nobody else can take over.
	maxStreamSends = 12
	// resumeStep is the pause before a begun stream tries replicas again that had no room for it.
	resumeStep = 100 * time.Millisecond
	// callerPatience is the least time without an event after which callers leave a stream; they wait for patienceTargets
	// times the target or patienceGaps times the longest pause if one of them is longer.
	callerPatience  = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	// resumeMargin is kept of that time for the first event of the new chain.
	resumeMargin = 400 * time.Millisecond
	// keepForStreams is the share of the retry budget that is kept for streams that have begun.
	keepForStreams = 0.4
	// answerMargin is kept of the caller's time, so that the final answer still reaches it.
	answerMargin = 20 * time.Millisecond
)

// Pauses after which a caller is told to come back.
const (
	// retryUnknown is for a daemon that has no configuration yet; the store answers within a second or two.
	retryUnknown = time.Second
	// retryEmpty is for a service without a usable upstream; layers take about two seconds to load.
	retryEmpty = 2 * time.Second
	// retryFull is for upstreams that are full.
	retryFull = 500 * time.Millisecond
	// retryStopping is for a daemon that stops; others serve.
	retryStopping = 100 * time.Millisecond
	// retryCondemned is for a request that crashes upstreams.
	retryCondemned = 5 * time.Second
)

// noUpstream is the outcome of requests for which no chain or replica was left.
const noUpstream = "NoUpstream"

// call is the life of one request.
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
	fingerprint string
	// deadline is the time until which the final answer is due.
	deadline time.Time

	// exclude has the replicas that failed this request, and full those that had no room for it.
	exclude map[string]bool
	full    map[string]bool
	penalty map[string]time.Duration
	// sends counts all tries, arrivals those that reached an upstream and runs those that may have run.
	sends    int
	arrivals int
	runs     int
	// failure is a complete answer of an upstream that says that it failed; it is passed on if no later try succeeds.
	failure *buffered
	// started says that a part of the answer has gone to the caller.
	started    bool
	firstEvent time.Duration
	// lastEvent is the time at which events were last passed on, and longestGap the longest pause between them.
	lastEvent  time.Time
	longestGap time.Duration
	// usualGap is the mean of the last pauses.
	usualGap time.Duration
	// sendBegan is the time of the last send, and sendFirst the time from then to its first event.
	sendBegan time.Time
	sendFirst time.Duration
	// sendRuns says that the last send is counted among the runs.
	sendRuns bool
	// delay is the wait of the last send for its first event; nil for plain services and streams that have begun.
	delay   *mangodelay.Send
	events  eventBuffer
	status  int
	outcome string
	// answered is the status of the last answer of an upstream, and fault the replica that a refusal named.
	answered int
	fault    string
}

// Serve answers one request. It returns false if the answer broke off, so that the caller's connection must be cut.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, request *Request) bool {
	c := &call{
		relay: r, request: request, writer: w, control: http.NewResponseController(w), view: r.state.View(),
		exclude: map[string]bool{}, full: map[string]bool{}, penalty: map[string]time.Duration{},
	}
	c.events.last, c.events.seen = request.LastEvent, request.Resumes
	whole := c.serve(ctx)
	c.finish(whole)
	return whole
}

func (c *call) serve(ctx context.Context) bool {
	if !c.admit() {
		return true
	}
	if !c.deadline.IsZero() {
		// The margins let a write that has begun end.
		_ = c.control.SetWriteDeadline(c.deadline.Add(2 * time.Second))
		inner, cancel := context.WithDeadline(ctx, c.deadline.Add(-answerMargin))
		defer cancel()
		return c.run(ctx, inner)
	}
	_ = c.control.SetWriteDeadline(time.Time{})
	return c.run(ctx, ctx)
}

// admit finds the route and the customer; it answers requests that are not allowed and reports whether to go on.
func (c *call) admit() bool {
	table := c.view.Table
	if table == nil {
		c.refuse("NoConfiguration", http.StatusServiceUnavailable, retryUnknown)
		return false
	}
	route, ok := table.Match(c.request.Host, c.request.Path)
	if !ok {
		c.refuse("NoRoute", http.StatusNotFound, 0)
		return false
	}
	c.route = route
	if table.Keyed() && !route.Public {
		if c.customer, ok = table.Customer(c.request.Key); !ok {
			c.refuse("UnknownKey", http.StatusUnauthorized, 0)
			return false
		}
	}
	if c.relay.closed(route.Kind == mangoroute.Stream) {
		c.refuse("Stopping", http.StatusServiceUnavailable, retryStopping)
		return false
	}
	c.serviceName = route.Service(c.relay.random())
	c.service = table.Service(c.serviceName)
	c.deadline = c.dueTime()
	c.relay.budget.Request(c.serviceName, time.Now())
	c.fingerprint = c.print()
	if c.crashes() {
		c.refuse("CrashesUpstreams", http.StatusServiceUnavailable, retryCondemned)
		return false
	}
	return true
}

// crashes reports whether the request crashes upstreams, or was aboard several crashes that are not yet judged.
func (c *call) crashes() bool {
	now := time.Now()
	return c.relay.suspects.Check(c.fingerprint, now) == mangosuspect.Condemned || c.relay.suspects.Held(c.fingerprint, now)
}

// dueTime is when the caller or the route stops waiting, whichever is first.
func (c *call) dueTime() time.Time {
	patience := c.request.Patience
	if c.route.Timeout > 0 && (patience <= 0 || c.route.Timeout < patience) {
		patience = c.route.Timeout
	}
	if patience <= 0 {
		return time.Time{}
	}
	return c.request.Arrived.Add(patience)
}

// print identifies requests that an upstream cannot tell apart.
func (c *call) print() string {
	h := xxhash.New()
	for _, s := range []string{c.request.Method, c.request.Host, c.request.URI, c.customer.Name} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.request.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// result says how a try ended.
type result int

const (
	// delivered means that the caller has the final answer.
	delivered result = iota
	// unsent means that no connection was made.
	unsent
	// refused means that the upstream says that it did not run the request.
	refused
	// lost means that the request may have run and no whole answer came.
	lost
	// failed means that the upstream answered with a failure that is kept for the caller.
	failed
	// gone means that the caller has left.
	gone
	// expired means that the caller's time or that of the route is over.
	expired
	// cut means that the answer broke off after its start and cannot go on.
	cut
)

// String returns the name of a result as it appears in logs.
func (r result) String() string {
	return [...]string{"Delivered", "Unsent", "Refused", "Lost", "Failed", "CallerGone", "Expired", "Cut"}[r]
}

// run tries upstreams until the caller has an answer. outer ends when the caller leaves, inner also when its time is
// over.
func (c *call) run(outer, inner context.Context) bool {
	for {
		t, ok := c.await(inner)
		if outer.Err() != nil {
			c.outcome = gone.String()
			return false
		}
		if !ok {
			return c.conclude(noUpstream, retryEmpty)
		}
		if c.sends == 0 && c.overloaded(t) {
			return c.conclude("Overloaded", c.comeBack())
		}
		if reason := c.mayNotSend(); reason != "" {
			return c.conclude(reason, retryFull)
		}
		c.sends++
		c.answered, c.fault = 0, ""
		result := c.try(outer, inner, t)
		c.logSend(t, result)
		switch result {
		case delivered:
			c.outcome = "Delivered"
			return true
		case gone:
			c.outcome = result.String()
			return false
		case cut:
			c.outcome = result.String()
			return false
		case expired:
			return c.conclude("Expired", 0)
		case lost:
			if !c.route.Repeatable() {
				return c.conclude("MayHaveRun", 0)
			}
		case unsent, refused, failed:
		}
	}
}

// mayNotSend returns why another send is not allowed, or nothing.
func (c *call) mayNotSend() string {
	switch {
	case c.sends == 0:
		return ""
	case c.sends >= c.maxSends():
		return "TooManySends"
	case c.runs >= max(c.route.MaxAttempts, 1):
		return "TooManyAttempts"
	case c.runs > 0 && c.crashes():
		return "CrashesUpstreams"
	case c.arrivals > 0 && !c.relay.budget.Take(c.serviceName, len(c.view.Members), c.keep(), time.Now()):
		return "BudgetSpent"
	}
	if c.arrivals > 0 {
		c.relay.observer.Retry(c.serviceName, "Repeat")
	}
	return ""
}

func (c *call) maxSends() int {
	if c.started {
		return maxStreamSends
	}
	return maxSends
}

// keep returns the share of the retry budget that this request must leave. A stream that has begun is lost without a
// retry, while others can come back.
func (c *call) keep() float64 {
	if c.started {
		return 0
	}
	return keepForStreams
}

// await chooses a target; while there is none it waits a moment for one. A stream that has begun waits as long as its
// caller does, since the caller has no other way to its rest.
func (c *call) await(ctx context.Context) (target, bool) {
	until, step := time.Now().Add(emptyWait), emptyStep
	if c.started {
		until, step = c.lastEvent.Add(c.streamPatience()), resumeStep
	}
	for {
		t, ok := c.choose()
		if ok || !time.Now().Before(until) || ctx.Err() != nil {
			return t, ok
		}
		if !c.started && len(c.exclude)+len(c.full) > 0 {
			// All others have just been tried for this request; waiting would only hold its refusal back.
			return t, false
		}
		sleep(ctx, step)
		// Replicas that were full may have room by now.
		clear(c.full)
	}
}

// streamPatience is the time without an event for which a begun stream tries to go on.
func (c *call) streamPatience() time.Duration {
	return max(callerPatience, patienceTargets*c.route.Target, patienceGaps*c.route.GapTarget) - resumeMargin
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// conclude gives the final answer after the last try.
func (c *call) conclude(reason string, retryAfter time.Duration) bool {
	switch {
	case c.started:
		c.outcome = reason
		return false
	case c.failure != nil:
		c.outcome = "UpstreamFailed"
		c.status = c.failure.status
		c.failure.write(c)
		return true
	case c.runs == 0:
		// Nothing has run, and nothing will: every send was refused or had no connection.
		c.refuse(reason, http.StatusServiceUnavailable, retryAfter)
	case reason == "Expired":
		c.refuse(reason, http.StatusGatewayTimeout, 0)
	default:
		c.refuse(reason, http.StatusBadGateway, 0)
	}
	return true
}

// refuse writes an answer of the daemon's own.
func (c *call) refuse(reason string, status int, retryAfter time.Duration) {
	c.outcome, c.status = reason, status
	header := c.writer.Header()
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Type", "application/json")
	if c.relay.closing() {
		header.Set("Connection", "close")
	}
	body := []byte(`{"Error":"` + reason + `"}`)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(status)
	// A caller that has left cannot be told anything.
	_, _ = c.writer.Write(body)
}

// logSend logs a routing decision with what came of it.
func (c *call) logSend(t target, result result) {
	c.relay.observer.Send(c.serviceName, result.String())
	entry := c.relay.logger.WithFields(logrus.Fields{
		"event": "request_sent", "request": c.request.ID, "send": c.sends, "runs": c.runs, "replica": t.first.ID,
		"chain": t.String(), "data_centre": t.dataCentre, "cost_us": t.cost.Microseconds(), "pressure": t.pressure,
		"result": result.String(), "since_ms": time.Since(c.request.Arrived).Milliseconds(), "last_event": c.events.last,
		"budget_left": int(c.relay.budget.Left(c.serviceName, time.Now())), "revision": c.view.Revision,
		"answered": c.answered, "fault": c.fault, "first_ms": c.sendFirst.Milliseconds(), "silent_ms": c.silence().Milliseconds(),
	})
	if result == delivered {
		entry.Info("a request was sent")
		return
	}
	entry.Warn("a send gave no final answer")
}

// silence returns the time since the last event, or since the last send if that came later.
func (c *call) silence() time.Duration {
	if c.lastEvent.Before(c.sendBegan) {
		return time.Since(c.sendBegan)
	}
	return time.Since(c.lastEvent)
}

// finish logs and counts the end of a request.
func (c *call) finish(whole bool) {
	took := time.Since(c.request.Arrived)
	route, kind, version := "", "", uint64(0)
	if c.route != nil {
		route, kind = c.route.Name, c.route.Kind.String()
	}
	if c.view.Table != nil {
		version = c.view.Table.Version()
	}
	c.relay.observer.Request(route, kind, c.outcome, c.status, took)
	entry := c.relay.logger.WithFields(logrus.Fields{
		"event": "request_done", "request": c.request.ID, "route": route, "kind": kind, "version": version,
		"customer": c.customer.Name, "service": c.serviceName, "status": c.status, "outcome": c.outcome, "whole": whole,
		"sends": c.sends, "runs": c.runs, "first_ms": c.firstEvent.Milliseconds(), "gap_ms": c.longestGap.Milliseconds(),
		"took_ms": took.Milliseconds(),
	})
	if c.outcome == noUpstream {
		entry = entry.WithField("covered", strings.Join(c.covered(), ","))
	}
	if c.outcome == "Delivered" {
		entry.Info("a request ended")
		return
	}
	entry.Warn("a request ended without success")
}

// String lists the replicas of a target as they appear in logs.
func (t target) String() string {
	s := ""
	for i, id := range t.ids {
		if i > 0 {
			s += ">"
		}
		s += id
	}
	return s
}
