package mangorelay

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangorevision"
	"mangopath.org/mangopath/internal/mangoshutdown"
)

// logSend counts and logs one send: the target that was chosen and the result.
func (c *call) logSend(t target, result sendResult) {
	c.relay.observer.Send(c.serviceName, result.String())
	if t.slotUse > 0 {
		c.relay.observer.FirstStage(c.serviceName, slotUseName(t.slotUse))
	}
	c.countDataCentre(t)
	entry := c.relay.logger.WithFields(logrus.Fields{
		"event": "request_sent", "request": c.request.ID, "send": c.sends, "runs": len(c.mayHaveRunOn), "replica": t.first.ID,
		"chain": strings.Join(t.replicaIDs, ">"), "data_centre": t.dataCentre, "cost_us": t.cost.Microseconds(), "pressure": t.pressure, "slot_use": t.slotUse,
		"result": result.String(), "since_ms": time.Since(c.request.ArrivedAt).Milliseconds(), "last_event": c.position.last,
		"budget_left": int(c.relay.budget.Remaining(c.serviceName, time.Now())), "revision": mangorevision.Text(c.view.Revision),
		"answered": c.answerStatus, "fault": c.refusedByReplica, "first_ms": c.sendFirstEventDelay.Milliseconds(), "silent_ms": c.silence().Milliseconds(),
		"parts": strings.Join(c.request.PromptParts, ","), "suspicion": c.suspicion,
	})
	if c.preferred != "" {
		entry = entry.WithFields(logrus.Fields{"preferred": c.preferred, "shares": c.sharesText()})
	}
	if result == resultDelivered {
		entry.Info("request sent and answered")
		return
	}
	entry.Warn("request sent without a final answer")
}

// slotUseName returns the name in metrics of a share of slots in use: "Full" if a request has to wait, "Half" from half of the slots on,
// from where redundant replicas become first stages, else "Free".
func slotUseName(share float64) string {
	switch {
	case share > 1:
		return "Full"
	case share >= 0.5:
		return "Half"
	default:
		return "Free"
	}
}

// silence returns the time since the last event, or since the last send if that came later.
func (c *call) silence() time.Duration {
	if c.lastEventAt.Before(c.sendStartedAt) {
		return time.Since(c.sendStartedAt)
	}
	return time.Since(c.lastEventAt)
}

// logLate logs whether a request that arrives in a stop begins, and what decided it.
func (c *call) logLate(plan mangoshutdown.Plan, r mangoshutdown.Request, admitted bool, now time.Time) {
	c.relay.logger.WithFields(logrus.Fields{
		"event": "late_request", "request": c.request.ID, "route": c.route.Name, "admitted": admitted, "phase": plan.Phase(now).String(),
		"stop_ms": now.Sub(plan.BeganAt).Milliseconds(), "left_ms": plan.AnswerBy.Sub(now).Milliseconds(), "timeout_ms": r.Timeout.Milliseconds(),
		"expected_ms": r.Expected.Milliseconds(),
	}).Info("a request arrived while the daemon stops")
}

// stopTimes returns the log fields that say when a request arrived and ended, counted from the signal to stop.
func (c *call) stopTimes(took time.Duration) logrus.Fields {
	plan, stopping := c.relay.shutdown.Plan()
	if !stopping {
		return nil
	}
	arrived := c.request.ArrivedAt.Sub(plan.BeganAt)
	return logrus.Fields{"stop_arrived_ms": arrived.Milliseconds(), "stop_ended_ms": (arrived + took).Milliseconds()}
}

// logDone counts and logs the end of a request.
func (c *call) logDone(whole bool) {
	took := time.Since(c.request.ArrivedAt)
	route, kind, version := "", "", uint64(0)
	if c.route != nil {
		route, kind = c.route.Name, c.route.Kind.String()
	}
	if c.view.Table != nil {
		version = c.view.Table.Version()
	}
	c.relay.observer.Request(route, kind, c.outcome, c.status, took)
	c.countRankedStream(whole)
	if c.outcome == resultDelivered.String() || c.outcome == resultExpired.String() {
		c.relay.durations.Record(route, took)
	}
	entry := c.relay.logger.WithFields(logrus.Fields{
		"event": "request_done", "request": c.request.ID, "route": route, "kind": kind, "version": version,
		"customer": c.customer.Name, "service": c.serviceName, "status": c.status, "outcome": c.outcome, "whole": whole,
		"sends": c.sends, "runs": len(c.mayHaveRunOn), "first_ms": c.firstEventDelay.Milliseconds(), "gap_ms": c.longestGap.Milliseconds(),
		"took_ms": took.Milliseconds(),
	}).WithFields(c.stopTimes(took)).WithFields(c.rankedStreamFields(whole))
	if c.outcome == outcomeNoUpstream {
		entry = entry.WithField("covered", strings.Join(c.coveredDataCentres(), ","))
	}
	if c.outcome == outcomeCrashesUpstreams {
		entry = entry.WithFields(logrus.Fields{
			"fingerprint": c.identity.Fingerprint, "part": c.refusedPart(), "held": c.refusal.Held, "crashes": c.refusal.Crashes,
		})
	}
	if c.outcome == "Delivered" {
		entry.Info("request answered")
		return
	}
	entry.Warn("request ended without success")
}
