package mangorelay

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// connectTimeout is far above the round trip within a region, and short enough for a second send within the time of a
	// plain request.
	connectTimeout = 200 * time.Millisecond
	// holdLost is how long a replica that could not be reached is avoided. Its entry in the store expires after about
	// 3.5 s, and a restarted replica is used at once, because it has a new incarnation.
	holdLost = 1500 * time.Millisecond
	// holdStalled is how long a replica that other replicas wait for is avoided; engines wait about that long for a lost
	// stage.
	holdStalled = 2500 * time.Millisecond
	// holdMoved is how long a replica that changed its layers or its address is avoided, until its new entry has arrived.
	holdMoved = 700 * time.Millisecond
	// holdFaulty is how long a replica that gave an invalid answer, or none in time, is avoided; others serve meanwhile.
	holdFaulty = 400 * time.Millisecond
	// stallRefusalAfter is the time after which a refusal is taken to mean that the replica waited in vain for a lost
	// stage.
	stallRefusalAfter = 1500 * time.Millisecond
	// fullPressure is the pressure of a chain from which a refusal is taken to mean that the replica has no capacity.
	fullPressure = 0.4
	// retryPenalty is added to the cost of a data centre for each failed send, so that the request goes to another one
	// with capacity: the loss of one stage is often the start of the loss of a whole data centre.
	retryPenalty = 150 * time.Millisecond
)

// sendOnce sends the request to a target once and passes the answer on.
func (c *call) sendOnce(callerCtx, deadlineCtx context.Context, t target) sendResult {
	request, err := c.relay.codec.Encode(c.upstreamRequest(t))
	if err != nil {
		c.relay.logger.WithField("request", c.request.ID).WithError(err).Error("failed to encode the request for the upstream")
		return resultLost
	}
	startedAt := time.Now()
	c.sendStartedAt, c.sendFirstEventDelay, c.sentTo = startedAt, 0, t.first
	if c.started {
		c.gaps.restart()
	}
	c.suspicion = c.relay.crashes.Suspicion(c.suspectIdentity(), startedAt)
	l := &silenceLimiter{call: c, target: t}
	kept, wait := newKeptLimiter(l)
	c.relay.limiter.CountSend(t.first.Incarnation(), startedAt)
	tracking := c.trackInFlight(t, func() {
		l.replicaLost.Store(true)
		wait.Wake()
	})
	defer tracking.end()
	defer l.enableRepair(deadlineCtx, wait, tracking.move)()
	defer c.trackFirstEventWait(t, startedAt)()
	response, err := c.exchange(deadlineCtx, t, request, wait, kept)
	if err != nil {
		return c.handleExchangeError(callerCtx, deadlineCtx, t, err)
	}
	defer response.Close()
	c.sendsArrived++
	answer := c.relay.codec.Decode(response.Response)
	c.relay.links.EventPassed(t.dataCentre)
	if response.ConnectTime > 0 {
		c.relay.links.Connected(t.dataCentre, response.ConnectTime)
	}
	c.answerStatus = answer.Status
	c.relay.handleNotice(t.first, answer.Notice, c.request.ID)
	c.allowReuse(response, answer)
	switch {
	case answer.NotRun && c.isRefusalOfThis(answer):
		return c.handleRefusal(t, answer, time.Since(c.sendStartedAt))
	case !c.isGenuine(answer):
		c.mayHaveRunOn[t.first.ID] = true
		c.failedReplicas[t.first.ID] = true
		c.relay.avoid(t.first, mangoreplica.CauseFaulty, holdFaulty, c.request.ID)
		c.relay.health.RecordResult(t.first.Incarnation(), true, time.Now())
		return resultLost
	}
	c.mayHaveRunOn[t.first.ID] = true
	c.relay.clearOutage(t.first, c.request.ID)
	if c.isUnprovenRefusal(answer) {
		c.relay.health.RecordResult(t.first.Incarnation(), true, time.Now())
		c.logUnprovenRefusal(t, answer)
		return resultLost
	}
	if c.started && !c.continuesStream(answer) {
		c.failedReplicas[t.first.ID] = true
		c.relay.health.RecordResult(t.first.Incarnation(), true, time.Now())
		return resultFailed
	}
	if c.route.Kind == mangoroute.Stream && isSuccess(answer.Status) {
		return c.streamAnswer(callerCtx, deadlineCtx, t, answer, response, wait)
	}
	return c.bufferAnswer(callerCtx, deadlineCtx, t, answer, response, wait)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// isRefusalOfThis reports whether a refusal is one of this request. A faulty replica may write that of an earlier request once
// more, and run this one. Refusals need not name the request; on a new connection there is no earlier one.
func (c *call) isRefusalOfThis(a AnswerHead) bool { return a.ID == "" || a.ID == c.request.ID }

// promisesNotRun reports whether callers take a status for the promise that their request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// isUnprovenRefusal reports whether an answer would promise that a request which must not run twice has not run, although its upstream does
// not state that. The caller is told that it may have run instead, by an answer without the upstream's seal.
func (c *call) isUnprovenRefusal(a AnswerHead) bool {
	return !c.route.Repeatable() && promisesNotRun(a.Status)
}

func (c *call) logUnprovenRefusal(t target, a AnswerHead) {
	c.relay.logger.WithFields(logrus.Fields{
		"event": "refusal_unproven", "request": c.request.ID, "replica": t.first.ID, "status": a.Status,
	}).Warn("a replica refused a request without stating that it has not run; the caller is told that it may have")
}

// isGenuine reports whether an answer has the upstream's seal and belongs to this request.
func (c *call) isGenuine(a AnswerHead) bool { return a.Sealed && a.ID == c.request.ID }

// continuesStream reports whether an answer is the rest of the stream that the caller has a part of: a success of the same type.
// Nothing of another answer may reach the caller then.
func (c *call) continuesStream(a AnswerHead) bool {
	return isSuccess(a.Status) && a.Header.Get("Content-Type") == c.streamType
}

// upstreamRequest returns the request as it is sent to a target.
func (c *call) upstreamRequest(t target) UpstreamRequest {
	u := UpstreamRequest{
		Request: c.request, Replica: t.first, Stages: t.stages, Customer: c.customer.Name, Priority: c.priorityClass(),
		LastEventID: c.position.last, Resumes: c.position.known,
	}
	if c.started {
		// A caller that has a part of its answer is served before those that have none.
		u.Priority = 0
	}
	u.TimeLeft = max(time.Until(c.deadline), time.Millisecond)
	return u
}

// handleExchangeError handles the failure of a send before the head of an answer arrived.
func (c *call) handleExchangeError(callerCtx, deadlineCtx context.Context, t target, err error) sendResult {
	if lost := (*keptLossError)(nil); errors.As(err, &lost) {
		return c.handleKeptLoss(callerCtx, deadlineCtx, t)
	}
	kind := mangoconn.KindOf(deadlineCtx, err)
	if kind != mangoconn.KindUnsent {
		c.sendsArrived++
		c.mayHaveRunOn[t.first.ID] = true
	}
	return c.handleFailure(callerCtx, deadlineCtx, t, kind, err)
}

// attemptsWith returns the number of replicas that may have run the request once it is sent to the given one.
func (c *call) attemptsWith(first *mangoreplica.Replica) int {
	if c.mayHaveRunOn[first.ID] {
		return len(c.mayHaveRunOn)
	}
	return len(c.mayHaveRunOn) + 1
}

// attemptsExhausted reports whether the request may have run on as many replicas as the route allows. A started stream
// can still resume at one of these, with other replicas behind it.
func (c *call) attemptsExhausted() bool { return len(c.mayHaveRunOn) >= max(c.route.MaxAttempts, 1) }

// handleFailure handles a send that gave no whole answer: it records what the failure says about the first replica of the
// target and returns the result of the send.
func (c *call) handleFailure(callerCtx, deadlineCtx context.Context, t target, kind mangoconn.Kind, err error) sendResult {
	switch {
	case callerCtx.Err() != nil:
		return resultCallerGone
	case deadlineCtx.Err() != nil:
		return resultExpired
	}
	c.retryPenalties[t.dataCentre] += retryPenalty
	if kind != mangoconn.KindUnsent {
		c.inFlight.lostAt.Store(time.Now().UnixNano())
	}
	switch kind {
	case mangoconn.KindUnsent:
		c.failedReplicas[t.first.ID] = true
		c.relay.avoid(t.first, connectErrorCause(err), holdLost, c.request.ID)
		return resultUnsent
	case mangoconn.KindBroken:
		c.relay.health.RecordResult(t.first.Incarnation(), true, time.Now())
		end := c.relay.checkConnection(t.first, c.request.ID)
		if !c.started && c.route.Repeatable() {
			awaitCheck(deadlineCtx, end)
		}
	case mangoconn.KindTimeout:
		if len(t.stages) == 0 {
			c.relay.avoid(t.first, mangoreplica.CauseSilent, holdFaulty, c.request.ID)
		}
	case mangoconn.KindInvalid, mangoconn.KindCancelled:
		c.failedReplicas[t.first.ID] = true
		c.relay.avoid(t.first, mangoreplica.CauseFaulty, holdFaulty, c.request.ID)
	}
	return resultLost
}

// connectErrorCause returns the cause of an outage from the error of a failed connection.
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

// refusalSource returns the replica that a refusal names by its address. Stages of the chain are looked up first, because
// the address may have passed to a newer replica since; without a match it is the first replica.
func (c *call) refusalSource(t target, address string) *mangoreplica.Replica {
	for _, p := range t.stages {
		if p.Replica.Address == address {
			return p.Replica
		}
	}
	if r := c.relay.state.View().Fleet.ByAddress(address); r != nil {
		return r
	}
	return t.first
}

// handleRefusal decides from a refusal whether the replica that caused it is avoided, marked as full or checked.
func (c *call) handleRefusal(t target, a AnswerHead, took time.Duration) sendResult {
	replica := c.refusalSource(t, a.FaultAddress)
	c.refusingReplicas[replica.ID] = true
	c.refusedByReplica = replica.ID
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		c.relay.avoid(replica, mangoreplica.CauseMoved, holdMoved, c.request.ID)
	case len(t.stages) == 0:
		// A full replica of a plain service is not avoided; only this request passes over it.
	case took >= stallRefusalAfter:
		c.relay.avoid(replica, mangoreplica.CauseStalled, holdStalled, c.request.ID)
	case t.pressure < fullPressure:
		c.relay.avoid(replica, mangoreplica.CauseFaulty, c.relay.health.RecordRefusal(replica.Incarnation(), time.Now()), c.request.ID)
		c.relay.checkHealth(replica, c.service.HealthPath, c.request.ID)
	default:
		c.relay.health.MarkFull(replica.ID, c.relay.random(), time.Now())
		c.relay.checkConnection(replica, c.request.ID)
	}
	c.retryPenalties[t.dataCentre] += retryPenalty
	return resultRefused
}
