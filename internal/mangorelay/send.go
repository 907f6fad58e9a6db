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
	// stallRefusalAfter is the time after which a refusal is taken for the end of a wait for a lost part.
	stallRefusalAfter = 1500 * time.Millisecond
	// fullPressure is the estimated share of memory in use from which a refusal means that there is no room.
	fullPressure = 0.4
	// retryPenalty sends a repeated request to another data centre if there is any with room: a loss of one part is often
	// the start of the loss of all of them.
	retryPenalty = 150 * time.Millisecond
)

// sendOnce sends the request to a target once and passes the answer on.
func (c *call) sendOnce(callerCtx, deadlineCtx context.Context, t target) sendResult {
	request, err := c.relay.codec.Encode(c.upstreamRequest(t))
	if err != nil {
		c.relay.logger.WithField("request", c.request.ID).WithError(err).Error("a request cannot be encoded")
		return resultLost
	}
	startedAt := time.Now()
	l := &silenceLimiter{call: c, target: t}
	wait := mangoconn.NewWait(l.remainingWait)
	defer c.trackInFlight(t, func() {
		l.replicaLost.Store(true)
		wait.Wake()
	})()
	c.sendStartedAt, c.sendFirstEventDelay = startedAt, 0
	defer c.trackFirstEventWait(t, startedAt)()
	response, err := c.relay.dialer.Exchange(deadlineCtx, t.first.Address, request, connectTimeout, wait)
	if err != nil {
		return c.handleExchangeError(callerCtx, deadlineCtx, t, err)
	}
	defer response.Close()
	c.sendsArrived++
	answer := c.relay.codec.Decode(response.Response)
	c.answerStatus = answer.Status
	if answer.Slots > 0 {
		c.relay.board.Report(t.first.ID, answer.Busy, answer.Slots, time.Now())
	}
	switch {
	case answer.NotRun:
		return c.handleRefusal(t, answer, time.Since(startedAt))
	case !c.isGenuine(answer):
		c.mayHaveRunOn[t.first.ID] = true
		c.failedReplicas[t.first.ID] = true
		c.relay.avoid(t.first, mangoreplica.CauseFaulty, holdFaulty, c.request.ID)
		c.relay.board.Result(t.first.Incarnation(), true, time.Now())
		return resultLost
	}
	c.mayHaveRunOn[t.first.ID] = true
	c.relay.clearOutage(t.first, c.request.ID)
	if c.route.Kind == mangoroute.Stream && isSuccess(answer.Status) {
		return c.streamAnswer(callerCtx, deadlineCtx, t, answer, response)
	}
	return c.bufferAnswer(callerCtx, deadlineCtx, t, answer, response)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// isGenuine reports whether an answer belongs to this request and comes from the replica's service.
func (c *call) isGenuine(a AnswerHead) bool { return a.Sealed && a.ID == c.request.ID }

func (c *call) upstreamRequest(t target) UpstreamRequest {
	s := UpstreamRequest{
		Request: c.request, Replica: t.first, Parts: t.parts, Customer: c.customer.Name, Priority: c.route.Priority,
		LastEventID: c.events.lastID, Resumes: c.events.hasLastID,
	}
	if c.customer.Ranked {
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

// trackInFlight counts the request on the replicas of a target until the returned function is called; wake is called when one of
// them is found lost meanwhile.
func (c *call) trackInFlight(t target, wake func()) func() {
	tokens := 0.0
	if len(t.parts) > 0 {
		tokens = c.estimateTokens()
	}
	release := c.relay.board.Begin(tokens, t.replicaIDs...)
	leave := c.relay.inFlight.add(&inFlightRequest{fingerprint: c.fingerprint, wake: wake}, t.incarnations())
	return func() {
		release()
		leave()
	}
}

// handleExchangeError decides what a failed exchange or a body that broke off means.
func (c *call) handleExchangeError(callerCtx, deadlineCtx context.Context, t target, err error) sendResult {
	kind := mangoconn.KindOf(deadlineCtx, err)
	if kind != mangoconn.KindUnsent {
		c.sendsArrived++
		c.mayHaveRunOn[t.first.ID] = true
	}
	return c.handleFailure(callerCtx, deadlineCtx, t, kind, err)
}

// attemptsWith returns the number of replicas that may have run the request, with the one that it is sent to now.
func (c *call) attemptsWith(first *mangoreplica.Replica) int {
	if c.mayHaveRunOn[first.ID] {
		return len(c.mayHaveRunOn)
	}
	return len(c.mayHaveRunOn) + 1
}

// attemptsExhausted reports whether as many replicas as the route allows may have run the request. A stream that has begun can
// still go on at one of them by other replicas behind it.
func (c *call) attemptsExhausted() bool { return len(c.mayHaveRunOn) >= max(c.route.MaxAttempts, 1) }

func (c *call) handleFailure(callerCtx, deadlineCtx context.Context, t target, kind mangoconn.Kind, err error) sendResult {
	switch {
	case callerCtx.Err() != nil:
		return resultCallerGone
	case deadlineCtx.Err() != nil:
		return resultExpired
	}
	c.retryPenalties[t.dataCentre] += retryPenalty
	switch kind {
	case mangoconn.KindUnsent:
		c.failedReplicas[t.first.ID] = true
		c.relay.avoid(t.first, connectErrorCause(err), holdLost, c.request.ID)
		return resultUnsent
	case mangoconn.KindBroken:
		c.relay.board.Result(t.first.Incarnation(), true, time.Now())
		c.relay.checkConnection(t.first, c.request.ID)
	case mangoconn.KindTimeout:
		if len(t.parts) == 0 {
			c.relay.avoid(t.first, mangoreplica.CauseSilent, holdFaulty, c.request.ID)
		}
	case mangoconn.KindInvalid, mangoconn.KindCancelled:
		c.failedReplicas[t.first.ID] = true
		c.relay.avoid(t.first, mangoreplica.CauseFaulty, holdFaulty, c.request.ID)
	}
	return resultLost
}

// connectErrorCause returns what a failed connection says about a replica.
func connectErrorCause(err error) mangoreplica.Cause {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return mangoreplica.CauseEnded
	case errors.Is(err, syscall.ECONNRESET):
		return mangoreplica.CauseReset
	default:
		return mangoreplica.CauseUnreachable
	}
}

// refusalSource returns the replica that a refusal names by its address. It is a part of the chain if one has the address: a
// later start may have taken the address from it.
func (c *call) refusalSource(t target, address string) *mangoreplica.Replica {
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

// handleRefusal decides what a refusal says about the replica that it names.
func (c *call) handleRefusal(t target, a AnswerHead, took time.Duration) sendResult {
	replica := c.refusalSource(t, a.FaultAddress)
	c.refusingReplicas[replica.ID] = true
	c.refusedByReplica = replica.ID
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		c.relay.avoid(replica, mangoreplica.CauseMoved, holdMoved, c.request.ID)
	case len(t.parts) == 0:
		// A full replica of a plain service is left to the callers that it already has.
	case took >= stallRefusalAfter:
		c.relay.avoid(replica, mangoreplica.CauseStalled, holdStalled, c.request.ID)
	case t.pressure < fullPressure:
		c.relay.avoid(replica, mangoreplica.CauseFaulty, c.relay.board.Refused(replica.Incarnation(), time.Now()), c.request.ID)
		c.relay.checkHealth(replica, c.service.HealthPath, c.request.ID)
	default:
		c.relay.board.Filled(replica.ID, c.relay.random(), time.Now())
		c.relay.checkConnection(replica, c.request.ID)
	}
	c.retryPenalties[t.dataCentre] += retryPenalty
	return resultRefused
}
