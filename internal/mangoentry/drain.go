package mangoentry

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// drainPollInterval is the time between two checks whether draining is complete.
const drainPollInterval = 50 * time.Millisecond

// drain waits, up to the end of the plan, until the load balancer sends no more callers, all requests are answered, and all
// connections that were accepted have sent their request or are closed. It closes idle connections meanwhile. Then the
// requests that still run get their last answer, and the listener is closed.
func (d *Daemon) drain(conns *callerConns, listener net.Listener) {
	start := time.Now()
	plan, _ := d.shutdown.Plan()
	idle := 0
	for {
		idle += conns.closeIdle()
		if plan.DrainComplete(time.Now(), d.shutdown.Active(), conns.pending()) {
			break
		}
		time.Sleep(drainPollInterval)
	}
	d.logger.WithFields(logrus.Fields{
		"event": "drained", "active": d.shutdown.Active(), "pending_connections": conns.pending(), "idle_closed": idle,
		"took_ms": time.Since(start).Milliseconds(),
	}).Info("draining ended")
	d.shutdown.EndAnswers()
	// The listener is closed whatever the error.
	_ = listener.Close()
	for until := plan.LastAnswersBy(time.Now()); time.Now().Before(until); time.Sleep(drainPollInterval) {
		conns.closeUnused()
		if conns.pending() == 0 {
			break
		}
	}
}
