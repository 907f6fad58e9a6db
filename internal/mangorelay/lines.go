package mangorelay

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// logSend logs a routing decision with what came of it.
func (c *call) logSend(t target, result result) {
	c.relay.observer.Send(c.serviceName, result.String())
	entry := c.relay.logger.WithFields(logrus.Fields{
		"event": "request_sent", "request": c.request.ID, "send": c.sends, "runs": len(c.ranOn), "replica": t.first.ID,
		"chain": strings.Join(t.ids, ">"), "data_centre": t.dataCentre, "cost_us": t.cost.Microseconds(), "pressure": t.pressure,
		"result": result.String(), "since_ms": time.Since(c.request.ArrivedAt).Milliseconds(), "last_event": c.events.last,
		"budget_left": int(c.relay.budget.Remaining(c.serviceName, time.Now())), "revision": c.view.Revision,
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
	took := time.Since(c.request.ArrivedAt)
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
		"sends": c.sends, "runs": len(c.ranOn), "first_ms": c.firstEvent.Milliseconds(), "gap_ms": c.longestGap.Milliseconds(),
		"took_ms": took.Milliseconds(),
	})
	if c.outcome == noUpstream {
		entry = entry.WithField("covered", strings.Join(c.covered(), ","))
	}
	if c.outcome == crashesUpstreams {
		entry = entry.WithField("fingerprint", c.fingerprint)
	}
	if c.outcome == "Delivered" {
		entry.Info("a request ended")
		return
	}
	entry.Warn("a request ended without success")
}
