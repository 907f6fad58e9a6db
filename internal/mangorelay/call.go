package mangorelay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopath.org/mangopath/internal/mangodelay"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangosuspect"
)

// answerMargin is kept of the caller's time, so that the final answer still reaches it.
const answerMargin = 20 * time.Millisecond

// Pauses after which a caller is told to come back.
const (
	// retryAfterNoConfiguration is for a daemon that has no configuration yet; the store answers within a second or two.
	retryAfterNoConfiguration = time.Second
	// retryAfterNoUpstream is for a service without a usable upstream; layers take about two seconds to load.
	retryAfterNoUpstream = 2 * time.Second
	// retryAfterNotResent is for upstreams that are full.
	retryAfterNotResent = 500 * time.Millisecond
	// retryAfterStopping is for a daemon that stops; others serve.
	retryAfterStopping = 100 * time.Millisecond
	// retryAfterCondemned is for a request that crashes upstreams.
	retryAfterCondemned = 5 * time.Second
)

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

	// failedReplicas has the replicas that failed this request, and full those that had no room for it.
	failedReplicas   map[string]bool
	refusingReplicas map[string]bool
	retryPenalties   map[string]time.Duration
	// refusalsInRow counts the tries of a begun stream in a row that gave no event.
	refusalsInRow int
	// sends counts all tries, and arrivals those that reached an upstream.
	sends        int
	sendsArrived int
	// failedAnswer is a complete answer of an upstream that says that it failed; it is passed on if no later try succeeds.
	failedAnswer *bufferedAnswer
	// started says that a part of the answer has gone to the caller.
	started         bool
	firstEventDelay time.Duration
	// lastEventAt is the time at which events were last passed on, and longestGap the longest pause between them.
	lastEventAt time.Time
	longestGap  time.Duration
	// meanGap is the mean of the last pauses.
	meanGap time.Duration
	// sendStartedAt is the time of the last send, and sendFirst the time from then to its first event.
	sendStartedAt       time.Time
	sendFirstEventDelay time.Duration
	// mayHaveRunOn has the replicas that may have run the request, as the first of their chains.
	mayHaveRunOn map[string]bool
	// firstEventWait is the wait of the last send for its first event; nil for plain services and streams that have begun.
	firstEventWait *mangodelay.Send
	events         eventBuffer
	status         int
	outcome        string
	// answerStatus is the status of the last answer of an upstream, and fault the replica that a refusal named.
	answerStatus     int
	refusedByReplica string
}

// Serve answers one request. It returns false if the answer broke off, so that the caller's connection must be cut.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, request *Request) bool {
	c := &call{
		relay: r, request: request, writer: w, control: http.NewResponseController(w), view: r.state.View(),
		failedReplicas: map[string]bool{}, refusingReplicas: map[string]bool{}, mayHaveRunOn: map[string]bool{}, retryPenalties: map[string]time.Duration{},
	}
	c.events.lastID, c.events.hasLastID = request.LastEventID, request.Resumes
	whole := c.serve(ctx)
	c.logDone(whole)
	return whole
}

func (c *call) serve(ctx context.Context) bool {
	if !c.admit() {
		return true
	}
	if !c.deadline.IsZero() {
		// The margins let a write that has begun end.
		_ = c.control.SetWriteDeadline(c.deadline.Add(2 * time.Second))
		deadlineCtx, cancel := context.WithDeadline(ctx, c.deadline.Add(-answerMargin))
		defer cancel()
		return c.sendUntilDone(ctx, deadlineCtx)
	}
	_ = c.control.SetWriteDeadline(time.Time{})
	return c.sendUntilDone(ctx, ctx)
}

// admit finds the route and the customer; it answers requests that are not allowed and reports whether to go on.
func (c *call) admit() bool {
	table := c.view.Table
	if table == nil {
		c.writeRefusal("NoConfiguration", http.StatusServiceUnavailable, retryAfterNoConfiguration)
		return false
	}
	route, ok := table.Match(c.request.Host, c.request.Path)
	if !ok {
		c.writeRefusal("NoRoute", http.StatusNotFound, 0)
		return false
	}
	c.route = route
	if table.Keyed() && !route.Public {
		if c.customer, ok = table.Customer(c.request.APIKey); !ok {
			c.writeRefusal("UnknownKey", http.StatusUnauthorized, 0)
			return false
		}
	}
	if c.relay.rejectNew(route.Kind == mangoroute.Stream) {
		c.writeRefusal("Stopping", http.StatusServiceUnavailable, retryAfterStopping)
		return false
	}
	c.serviceName = route.Service(c.relay.random())
	c.service = table.Service(c.serviceName)
	c.deadline = c.computeDeadline()
	c.relay.budget.Request(c.serviceName, time.Now())
	c.fingerprint = c.computeFingerprint()
	if c.isCondemnedOrHeld() {
		c.writeRefusal(outcomeCrashesUpstreams, http.StatusServiceUnavailable, retryAfterCondemned)
		return false
	}
	return true
}

// isCondemnedOrHeld reports whether the request isCondemnedOrHeld upstreams, or was aboard several isCondemnedOrHeld that are not yet judged.
func (c *call) isCondemnedOrHeld() bool {
	now := time.Now()
	return c.relay.suspects.Check(c.fingerprint, now) == mangosuspect.Condemned || c.relay.suspects.Held(c.fingerprint, now)
}

// computeDeadline is when the caller or the route stops waiting, whichever is first.
func (c *call) computeDeadline() time.Time {
	patience := c.request.CallerTimeout
	if c.route.Timeout > 0 && (patience <= 0 || c.route.Timeout < patience) {
		patience = c.route.Timeout
	}
	if patience <= 0 {
		return time.Time{}
	}
	return c.request.ArrivedAt.Add(patience)
}

// computeFingerprint identifies requests that an upstream cannot tell apart.
func (c *call) computeFingerprint() string {
	h := xxhash.New()
	for _, s := range []string{c.request.Method, c.request.Host, c.request.URI, c.customer.Name} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.request.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// finishUndelivered gives the final answer after the last try.
func (c *call) finishUndelivered(reason string, retryAfter time.Duration) bool {
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
		// Nothing has run, and nothing will: every send was refused or had no connection.
		c.writeRefusal(reason, http.StatusServiceUnavailable, retryAfter)
	case reason == "Expired":
		c.writeRefusal(reason, http.StatusGatewayTimeout, 0)
	default:
		c.writeRefusal(reason, http.StatusBadGateway, 0)
	}
	return true
}

// writeRefusal writes an answer of the daemon's own.
func (c *call) writeRefusal(reason string, status int, retryAfter time.Duration) {
	c.outcome, c.status = reason, status
	header := c.writer.Header()
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Type", "application/json")
	if c.relay.closeConnections() {
		header.Set("Connection", "close")
	}
	body := []byte(`{"Error":"` + reason + `"}`)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(status)
	// A caller that has left cannot be told anything.
	_, _ = c.writer.Write(body)
}
