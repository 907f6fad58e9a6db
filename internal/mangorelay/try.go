package mangorelay

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// connectTimeout is far above the round trip within a region, and short enough for a second try within the time
	// that a plain request has.
	connectTimeout = 200 * time.Millisecond
	// holdLost is the time for which a replica that could not be reached is avoided; its entry goes away after about
	// 3.5 s, and a replica that restarts is back under a new start at once.
	holdLost = 1500 * time.Millisecond
	// holdStalled is about the time for which engines wait for a lost part.
	holdStalled = 2500 * time.Millisecond
	// holdMoved is the time for the entry of a replica that changed its layers or its address to arrive.
	holdMoved = 700 * time.Millisecond
	// holdFaulty is for a replica that refuses or fails without being full; others serve meanwhile.
	holdFaulty = 400 * time.Millisecond
	// stallSigns is the time after which a refusal is taken for the end of a wait for a lost part.
	stallSigns = 1500 * time.Millisecond
	// fullPressure is the estimated share of memory in use from which a refusal means that there is no room.
	fullPressure = 0.4
	// retryPenalty sends a repeated request to another data centre if there is any with room: a loss of one part is often
	// the start of the loss of all of them.
	retryPenalty = 150 * time.Millisecond
)

// try sends the request to a target once and passes the answer on.
func (c *call) try(outer, inner context.Context, t target) result {
	request, err := c.relay.codec.Encode(c.send(t))
	if err != nil {
		c.relay.logger.WithField("request", c.request.ID).WithError(err).Error("a request cannot be encoded")
		return lost
	}
	began := time.Now()
	w := &watch{call: c, target: t}
	wait := mangoconn.NewWait(w.wait)
	defer c.occupy(t, func() {
		w.woken.Store(true)
		wait.Wake()
	})()
	c.sendBegan, c.sendFirst = began, 0
	defer c.measure(t, began)()
	response, err := c.relay.dialer.Exchange(inner, t.first.Address, request, connectTimeout, wait)
	if err != nil {
		return c.broken(outer, inner, t, err)
	}
	defer response.Close()
	c.arrivals++
	answer := c.relay.codec.Decode(response.Response)
	c.answered = answer.Status
	if answer.Slots > 0 {
		c.relay.board.RecordLoad(t.first.ID, answer.Busy, answer.Slots, time.Now())
	}
	switch {
	case answer.NotRun:
		return c.refusedBy(t, answer, time.Since(began))
	case !c.genuine(answer):
		c.ranOn[t.first.ID] = true
		c.exclude[t.first.ID] = true
		c.relay.avoid(t.first, mangoreplica.CauseFaulty, holdFaulty, c.request.ID)
		c.relay.board.RecordResult(t.first.Incarnation(), true, time.Now())
		return lost
	}
	c.ranOn[t.first.ID] = true
	c.relay.trust(t.first, c.request.ID)
	if c.route.Kind == mangoroute.Stream && success(answer.Status) {
		return c.stream(outer, inner, t, answer, response)
	}
	return c.buffer(outer, inner, t, answer, response)
}

func success(status int) bool { return status >= 200 && status < 300 }

// genuine reports whether an answer belongs to this request and comes from the replica's service.
func (c *call) genuine(a AnswerHead) bool { return a.Sealed && a.ID == c.request.ID }

func (c *call) send(t target) UpstreamRequest {
	s := UpstreamRequest{
		Request: c.request, Replica: t.first, Parts: t.parts, Customer: c.customer.Name, Priority: c.route.Priority,
		LastEventID: c.events.last, Resumes: c.events.seen,
	}
	if c.customer.HasPriority {
		s.Priority = c.customer.Priority
	}
	if c.started {
		// A caller that has a part of its answer is served before those that have none.
		s.Priority = 0
	}
	if !c.deadline.IsZero() {
		s.TimeLeft = max(time.Until(c.deadline), time.Millisecond)
	}
	return s
}

// occupy counts the request on the replicas of a target until the returned function is called; wake is called when one of
// them is found lost meanwhile.
func (c *call) occupy(t target, wake func()) func() {
	tokens := 0.0
	if len(t.parts) > 0 {
		tokens = c.tokens()
	}
	release := c.relay.board.BeginRequest(tokens, t.ids...)
	leave := c.relay.aboard.board(&sent{fingerprint: c.fingerprint, wake: wake}, t.incarnations())
	return func() {
		release()
		leave()
	}
}

// broken decides what a failed exchange or a body that broke off means.
func (c *call) broken(outer, inner context.Context, t target, err error) result {
	kind := mangoconn.KindOf(inner, err)
	if kind != mangoconn.KindUnsent {
		c.arrivals++
		c.ranOn[t.first.ID] = true
	}
	return c.after(outer, inner, t, kind, err)
}

// attempts returns the number of replicas that may have run the request, with the one that it is sent to now.
func (c *call) attempts(first *mangoreplica.Replica) int {
	if c.ranOn[first.ID] {
		return len(c.ranOn)
	}
	return len(c.ranOn) + 1
}

// exhausted reports whether as many replicas as the route allows may have run the request. A stream that has begun can
// still go on at one of them by other replicas behind it.
func (c *call) exhausted() bool { return len(c.ranOn) >= max(c.route.MaxAttempts, 1) }

func (c *call) after(outer, inner context.Context, t target, kind mangoconn.Kind, err error) result {
	switch {
	case outer.Err() != nil:
		return gone
	case inner.Err() != nil:
		return expired
	}
	c.penalty[t.dataCentre] += retryPenalty
	switch kind {
	case mangoconn.KindUnsent:
		c.exclude[t.first.ID] = true
		c.relay.avoid(t.first, causeOf(err), holdLost, c.request.ID)
		return unsent
	case mangoconn.KindBroken:
		c.relay.board.RecordResult(t.first.Incarnation(), true, time.Now())
		c.relay.verify(t.first, c.request.ID)
	case mangoconn.KindTimeout:
		if len(t.parts) == 0 {
			c.relay.avoid(t.first, mangoreplica.CauseSilent, holdFaulty, c.request.ID)
		}
	case mangoconn.KindInvalid, mangoconn.KindCancelled:
		c.exclude[t.first.ID] = true
		c.relay.avoid(t.first, mangoreplica.CauseFaulty, holdFaulty, c.request.ID)
	}
	return lost
}

// causeOf returns what a failed connection says about a replica.
func causeOf(err error) mangoreplica.Cause {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return mangoreplica.CauseEnded
	case errors.Is(err, syscall.ECONNRESET):
		return mangoreplica.CauseReset
	default:
		return mangoreplica.CauseUnreachable
	}
}

// faultOf returns the replica that a refusal names by its address. It is a part of the chain if one has the address: a
// later start may have taken the address from it.
func (c *call) faultOf(t target, address string) *mangoreplica.Replica {
	for _, p := range t.parts {
		if p.Replica.Address == address {
			return p.Replica
		}
	}
	if r := c.relay.state.View().Fleet.ByAddress(address); r != nil {
		return r
	}
	return t.first
}

// refusedBy decides what a refusal says about the replica that it names.
func (c *call) refusedBy(t target, a AnswerHead, took time.Duration) result {
	fault := c.faultOf(t, a.FaultAddress)
	c.full[fault.ID] = true
	c.fault = fault.ID
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		c.relay.avoid(fault, mangoreplica.CauseMoved, holdMoved, c.request.ID)
	case len(t.parts) == 0:
		// A full replica of a plain service is left to the callers that it already has.
	case took >= stallSigns:
		c.relay.avoid(fault, mangoreplica.CauseStalled, holdStalled, c.request.ID)
	case t.pressure < fullPressure:
		c.relay.avoid(fault, mangoreplica.CauseFaulty, c.relay.board.RecordRefusal(fault.Incarnation(), time.Now()), c.request.ID)
		c.relay.inquire(fault, c.service.HealthPath, c.request.ID)
	default:
		c.relay.board.MarkFull(fault.ID, c.relay.random(), time.Now())
		c.relay.verify(fault, c.request.ID)
	}
	c.penalty[t.dataCentre] += retryPenalty
	return refused
}
