package mangorelay

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// turnPoll is the interval at which a waiting restart checks whether it may go.
	turnPoll = 20 * time.Millisecond
	// turnShare is the share of the caller's silence tolerance for which a restart waits for its turn at most. The estimate of the
	// capacity may be wrong, so the restart is then tried in any case, while the caller still waits.
	turnShare = 0.5
)

// restarts reports whether the next send repeats a stream of a split model that may have run before.
func (c *call) restarts() bool {
	return c.route.Kind == mangoroute.Stream && c.route.Pipelined && c.service.Split() && len(c.mayHaveRunOn) > 0
}

// restartUntil returns the time until which a request without an event tries to restart: its caller leaves then.
func (c *call) restartUntil() time.Time {
	if !c.restarts() {
		return time.Time{}
	}
	return c.request.ArrivedAt.Add(c.silenceTolerance() - silenceToleranceSlack)
}

// takeTurn reports whether a send may go now. A restart waits while its chain has no capacity, or while streams of this daemon
// restart that come before it; then takeTurn pauses and returns false, and the chain is to be chosen again.
func (c *call) takeTurn(ctx context.Context, t target) bool {
	if !c.restarts() {
		return true
	}
	if c.turn == nil {
		c.turn = c.relay.restarts.Enter(c.recoveryStream())
	}
	since := c.request.ArrivedAt
	if c.started {
		since = c.lastEventAt
	}
	maxWait := time.Duration(turnShare * float64(c.silenceTolerance()))
	if c.turn.Take(c.restartPressure(t)) {
		return true
	}
	if ctx.Err() != nil || time.Since(since) >= maxWait {
		c.turn.Force()
		return true
	}
	sleep(ctx, turnPoll)
	return false
}

// restartPressure returns the pressure of a chain including the restarts of other daemons that go before this one. They are
// estimated from the last load of the lost first replica, which falls as these daemons report anew. Requests that only the replica
// reported do not count: most are of daemons that have ended, so nobody restarts them.
func (c *call) restartPressure(t target) float64 {
	now := time.Now()
	if c.sentTo == nil || !c.relay.health.Outages(now)[c.sentTo.Incarnation()].Cause.LikelyDown() {
		return t.pressure
	}
	capacity := math.Inf(1)
	for _, s := range t.stages {
		capacity = min(capacity, c.service.Engine.TokenCapacity(s.Replica.Accelerator, s.Replica.Layers.Len()))
	}
	lost := c.relay.health.KnownLoad(c.sentTo.ID, now).Tokens
	return t.pressure + mangorecovery.PressureAhead(c.recoveryStream().Remaining, lost, len(c.coveredDataCentres()), capacity)
}

// endTurn gives up the place of a restart: its first event has come, its send has ended, or it waits for something else.
func (c *call) endTurn() {
	if c.turn != nil {
		c.turn.End()
		c.turn = nil
	}
}

// recoveryStream returns what decides when the request restarts.
func (c *call) recoveryStream() mangorecovery.Stream {
	expected := float64(c.request.AnswerTokens)
	if mean := c.service.Engine.MeanAnswerTokens; mean > 0 && (expected <= 0 || mean < expected) {
		expected = mean
	}
	return mangorecovery.Stream{
		Service: c.serviceName, Started: c.started, Remaining: mangorecovery.Remaining(c.events.count, expected), Priority: c.priorityClass(),
	}
}

// logRestart counts and logs a send that repeats a stream.
func (c *call) logRestart(t target) {
	if !c.restarts() {
		return
	}
	c.relay.observer.Restart(c.serviceName, c.started)
	c.relay.logger.WithFields(logrus.Fields{
		"event": "stream_restarted", "request": c.request.ID, "started": c.started, "remaining": c.recoveryStream().Remaining, "replica": t.first.ID,
		"data_centre": t.dataCentre, "pressure": t.pressure, "last_event": c.position.last, "silent_ms": c.silence().Milliseconds(), "runs": len(c.mayHaveRunOn),
	}).Info("a stream restarts after a loss")
}
