package mangorelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// KeptExchanger sends requests over connections that are kept between requests. It is implemented by mangoconn.Pool.
type KeptExchanger interface {
	// HasIdle reports whether there is an idle connection to a replica.
	HasIdle(e mangoconn.Endpoint) bool
	// ExchangeKept sends a request over an idle connection; the error wraps mangoconn.ErrNoneIdle if there is none.
	ExchangeKept(
		ctx context.Context, e mangoconn.Endpoint, request *http.Request, wait *mangoconn.ReadWaiter,
	) (*mangoconn.Response, time.Duration, error)
	// ExchangeNew sends a request over a new connection, which may be kept.
	ExchangeNew(
		ctx context.Context, e mangoconn.Endpoint, request *http.Request, connect time.Duration, wait *mangoconn.ReadWaiter,
	) (*mangoconn.Response, error)
}

// WithKeptConnections sets the connections that are kept between requests. By default each request gets a new one.
func WithKeptConnections(k KeptExchanger) Option { return func(r *Relay) { r.kept = k } }

// Reasons for which a request that was sent over a kept connection is sent again over a new one, as they appear in logs.
const (
	keptBroken         = "Broken"
	keptInvalid        = "Invalid"
	keptOtherAnswer    = "OtherAnswer"
	keptSilent         = "Silent"
	keptUnacknowledged = "Unacknowledged"
)

// keptLossError means that a request was lost on a kept connection and may not be sent again. It says nothing about the replica,
// which closes idle connections without notice.
type keptLossError struct{ reason string }

// Error implements error.
func (e *keptLossError) Error() string { return "mangorelay: lost on a kept connection: " + e.reason }

// mayUseKept reports whether the present send may go over a kept connection. Only the first send of a request may: a duplicate
// refusal of an earlier send, late on the same connection, would be taken for the answer to this one. Requests without an id may
// not, since their answer cannot be recognised, nor those that may crash replicas, since their broken connections are evidence.
func (c *call) mayUseKept() bool {
	return c.route.Repeatable() && c.sends == 1 && c.request.ID != "" && !c.isTrial && c.suspicion == 0
}

// prefersKept reports whether the target that is chosen next is to be one with a kept connection if the cost is nearly the same.
func (c *call) prefersKept(r *mangoreplica.Replica) bool {
	return c.relay.kept != nil && c.sends == 0 && c.route.Repeatable() && c.relay.kept.HasIdle(mangoconn.EndpointOf(r))
}

// exchange sends the request to a target and reads the head of the answer: over a kept connection if there is one and the request
// may use it, else over a new one. A request that was lost on the kept connection goes once more to the same replica.
func (c *call) exchange(
	ctx context.Context, t target, request *http.Request, wait *mangoconn.ReadWaiter, l *keptLimiter,
) (*mangoconn.Response, error) {
	kept, endpoint := c.relay.kept, mangoconn.EndpointOf(t.first)
	if kept == nil {
		return c.relay.dialer.Exchange(ctx, t.first.Address, request, connectTimeout, wait)
	}
	if !c.mayUseKept() {
		return kept.ExchangeNew(ctx, endpoint, request, connectTimeout, wait)
	}
	l.awaitsHead = true
	response, idle, err := kept.ExchangeKept(ctx, endpoint, request, wait)
	l.awaitsHead = false
	if errors.Is(err, mangoconn.ErrNoneIdle) {
		return kept.ExchangeNew(ctx, endpoint, request, connectTimeout, wait)
	}
	reason := c.keptLossReason(ctx, l, response, err)
	if reason == "" {
		return response, err
	}
	if response != nil {
		if n := c.relay.codec.Decode(response.Response).Notice; n.Leaving || n.RetryAfter > 0 {
			// It holds whichever request the answer is to.
			c.relay.handleNotice(t.first, n, c.request.ID)
		}
		response.Close()
	}
	return c.exchangeAgain(ctx, l, wait, reason, idle)
}

// keptLossReason returns the reason for which a request was lost on a kept connection without being evidence against the
// replica, or "" if it has its answer, if nobody waits for it any more or if the replica is known to be lost.
func (c *call) keptLossReason(ctx context.Context, l *keptLimiter, response *mangoconn.Response, err error) string {
	if err == nil {
		if c.relay.codec.Decode(response.Response).ID != c.request.ID {
			return keptOtherAnswer
		}
		return ""
	}
	if ctx.Err() != nil || l.targetLost() || c.withdrawn() {
		return ""
	}
	switch mangoconn.KindOf(ctx, err) {
	case mangoconn.KindBroken:
		return keptBroken
	case mangoconn.KindInvalid:
		return keptInvalid
	case mangoconn.KindTimeout:
		if mangoconn.IsUnacknowledged(err) {
			return keptUnacknowledged
		}
		if l.gaveUp {
			return keptSilent
		}
	case mangoconn.KindUnsent, mangoconn.KindCancelled:
	}
	return ""
}

// mayGoAgain reports whether a replica still takes requests at its address. It may have begun to leave, asked for a pause or moved
// while a request was waiting on a kept connection.
func (c *call) mayGoAgain(r *mangoreplica.Replica, now time.Time) bool {
	current := c.relay.state.View().Fleet.ByID(r.ID)
	if current == nil || current.Address != r.Address || current.Draining {
		return false
	}
	return !c.relay.health.Leaving(r.Incarnation()) && !c.relay.health.Paused(r.Incarnation(), now)
}

// exchangeAgain sends a request that was lost on a kept connection over a new one to the same replica. As it may have arrived,
// that is a repeat.
func (c *call) exchangeAgain(
	ctx context.Context, l *keptLimiter, wait *mangoconn.ReadWaiter, reason string, idle time.Duration,
) (*mangoconn.Response, error) {
	t := l.target
	c.sendsArrived++
	c.mayHaveRunOn[t.first.ID] = true
	now := time.Now()
	allowed := !l.pathOrdered() && c.mayGoAgain(t.first, now) && !c.isRefusedAsCrashing() && c.takeRetry(now)
	c.relay.logger.WithFields(logrus.Fields{
		"event": "connection_retried", "request": c.request.ID, "send": c.sends, "replica": t.first.ID, "address": t.first.Address, "reason": reason,
		"idle_ms": idle.Milliseconds(), "waited_ms": now.Sub(c.sendStartedAt).Milliseconds(), "allowed": allowed,
	}).Info("a kept connection gave no answer; if allowed, the request is sent again over a new one")
	if !allowed {
		return nil, &keptLossError{reason}
	}
	request, err := c.relay.codec.Encode(c.upstreamRequest(t))
	if err != nil {
		return nil, &mangoconn.Error{Op: "Exchange", Kind: mangoconn.KindInvalid, Err: err}
	}
	c.sends++
	c.sendStartedAt = now
	c.relay.observer.Retry(c.serviceName, "KeptConnection")
	c.relay.limiter.CountSend(t.first.Incarnation(), now)
	response, err := c.relay.kept.ExchangeNew(ctx, mangoconn.EndpointOf(t.first), request, connectTimeout, wait)
	if err != nil && ctx.Err() == nil && mangoconn.KindOf(ctx, err) == mangoconn.KindUnsent {
		// The replica ended or became unreachable with the request: the loss is evidence now.
		return nil, &mangoconn.Error{Op: "Exchange", Kind: mangoconn.KindBroken, Err: err}
	}
	return response, err
}

// handleKeptLoss handles a request that was lost on a kept connection and may not be sent to the same replica again. The replica
// is checked, but neither avoided nor counted as failing.
func (c *call) handleKeptLoss(callerCtx, deadlineCtx context.Context, t target) sendResult {
	switch {
	case callerCtx.Err() != nil:
		return resultCallerGone
	case deadlineCtx.Err() != nil:
		return resultExpired
	}
	c.retryPenalties[t.dataCentre] += retryPenalty
	c.inFlight.lostAt.Store(time.Now().UnixNano())
	awaitCheck(deadlineCtx, c.relay.checkConnection(t.first, c.request.ID))
	return resultLost
}

// allowReuse lets the connection of an answer be kept if the answer is the one to this request and its replica stays.
func (c *call) allowReuse(response *mangoconn.Response, a AnswerHead) {
	if c.request.ID != "" && a.ID == c.request.ID && (a.Sealed || a.NotRun) && !a.Notice.Leaving {
		response.AllowReuse()
	}
}
