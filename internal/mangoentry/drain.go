package mangoentry

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoshutdown"
)

// drainPollInterval is the time between two checks whether draining is complete.
const drainPollInterval = 50 * time.Millisecond

// drain waits, up to the time of the plan, until the load balancer sends no more callers, all requests are answered, and all
// connections that were accepted have sent their request or are closed. It closes idle connections meanwhile. Then the listener
// is closed, the rest that was accepted until then is served in the same way, and requests that still run get their last answer.
// Answers that have begun go on until the plan cuts them.
func (d *Daemon) drain(conns *callerConns, listener net.Listener) {
	plan, _ := d.shutdown.Plan()
	idle := d.awaitQuiet(plan, conns)
	d.logDrained(plan, conns, "drained", idle)
	// The listener is closed whatever the error.
	_ = listener.Close()
	conns.awaitAccepted(plan.AnswerBy)
	d.awaitQuiet(plan, conns)
	d.shutdown.EndAnswers()
	idle = conns.closeUntil(plan.CutBy)
	if conns.pending() > 0 {
		d.logDrained(plan, conns, "cut", idle)
	}
	d.shutdown.Cut()
	conns.closeUntil(plan.CloseBy)
}

// awaitQuiet closes idle connections until the plan lets the drain end, and returns their number.
func (d *Daemon) awaitQuiet(plan mangoshutdown.Plan, conns *callerConns) int {
	idle := 0
	for {
		idle += conns.closeIdle()
		if plan.DrainComplete(time.Now(), d.shutdown.Active(), conns.pending()) {
			return idle
		}
		sleepUntil(plan.AnswerBy)
	}
}

// logDrained logs the end of a part of the drain.
func (d *Daemon) logDrained(plan mangoshutdown.Plan, conns *callerConns, event string, idle int) {
	d.logger.WithFields(logrus.Fields{
		"event": event, "active": d.shutdown.Active(), "pending_connections": conns.pending(), "idle_closed": idle,
		"took_ms": time.Since(plan.BeganAt).Milliseconds(),
	}).Info("a part of the drain has ended")
}

// sleepUntil sleeps to the next check, or to a moment of the plan if that comes first.
func sleepUntil(end time.Time) {
	if left := time.Until(end); left > 0 {
		time.Sleep(min(drainPollInterval, left))
	}
}
