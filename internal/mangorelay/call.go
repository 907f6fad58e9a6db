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
	// refusals counts the tries of a begun stream in a row that gave no event.
	refusals int
	// sends counts all tries, and arrivals those that reached an upstream.
	sends    int
	arrivals int
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
	// ranOn has the replicas that may have run the request, as the first of their chains.
	ranOn map[string]bool
	// delay is the wait of the last send for its first event; nil for plain services and streams that have begun.
	delay   *mangodelay.PendingRequest
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
		exclude: map[string]bool{}, full: map[string]bool{}, ranOn: map[string]bool{}, penalty: map[string]time.Duration{},
	}
	c.events.last, c.events.seen = request.LastEventID, request.Resumes
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
	if table.KeyRequired() && !route.Public {
		if c.customer, ok = table.Customer(c.request.APIKey); !ok {
			c.refuse("UnknownKey", http.StatusUnauthorized, 0)
			return false
		}
	}
	if c.relay.closed(route.Kind == mangoroute.Stream) {
		c.refuse("Stopping", http.StatusServiceUnavailable, retryStopping)
		return false
	}
	c.serviceName = route.PickService(c.relay.random())
	c.service = table.Service(c.serviceName)
	c.deadline = c.dueTime()
	c.relay.budget.CountRequest(c.serviceName, time.Now())
	c.fingerprint = c.print()
	if c.crashes() {
		c.refuse(crashesUpstreams, http.StatusServiceUnavailable, retryCondemned)
		return false
	}
	return true
}

// crashes reports whether the request crashes upstreams, or was aboard several crashes that are not yet judged.
func (c *call) crashes() bool {
	now := time.Now()
	return c.relay.suspects.Check(c.fingerprint, now) == mangosuspect.Blocked || c.relay.suspects.Held(c.fingerprint, now)
}

// dueTime is when the caller or the route stops waiting, whichever is first.
func (c *call) dueTime() time.Time {
	patience := c.request.CallerTimeout
	if c.route.Timeout > 0 && (patience <= 0 || c.route.Timeout < patience) {
		patience = c.route.Timeout
	}
	if patience <= 0 {
		return time.Time{}
	}
	return c.request.ArrivedAt.Add(patience)
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

// conclude gives the final answer after the last try.
func (c *call) conclude(reason string, retryAfter time.Duration) bool {
	switch {
	case c.started:
		c.outcome = reason
		return false
	case c.failure != nil:
		c.outcome = "UpstreamFailed"
		c.status = c.failure.answer.Status
		c.failure.write(c)
		return true
	case len(c.ranOn) == 0:
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
