package mangoentry

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// drainPollInterval is the time between two checks whether draining is complete.
	drainPollInterval = 50 * time.Millisecond
	// lastAnswerTime is the time after draining in which requests that still run get their last answer, and those that arrive a
	// refusal.
	lastAnswerTime = 500 * time.Millisecond
)

// drain waits, up to the end of the plan, until the load balancer sends no more callers, all requests are answered, and all
// connections that were accepted have sent their request or are closed. It closes idle connections meanwhile. Then the
// requests that still run get their last answer, and the listener is closed.
func (d *Daemon) drain(conns *callerConns, listener net.Listener) {
	start := time.Now()
	plan, _ := d.lifecycle.Plan()
	idle := 0
	for time.Now().Before(plan.AnswerBy) {
		idle += conns.closeIdle()
		if !time.Now().Before(plan.DeregisteredAt) && d.lifecycle.activeRequests.Load() == 0 && conns.pending() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	d.logger.WithFields(logrus.Fields{
		"event": "drained", "active": d.lifecycle.activeRequests.Load(), "pending_connections": conns.pending(), "idle_closed": idle,
		"took_ms": time.Since(start).Milliseconds(),
	}).Info("draining ended")
	d.lifecycle.endAnswers()
	// The listener is closed whatever the error.
	_ = listener.Close()
	for start := time.Now(); time.Since(start) < lastAnswerTime; time.Sleep(drainPollInterval) {
		conns.closeUnused()
		if conns.pending() == 0 {
			break
		}
	}
}
