package mangometric

import "time"

// CallDone counts a call that ended and observes its duration; reason is the kind of its error, or empty if it was answered.
func (m *Metrics) CallDone(kind, outcome, reason string, took time.Duration) {
	m.calls.WithLabelValues(kind, outcome, reason).Inc()
	m.callDuration.WithLabelValues(kind, outcome).Observe(took.Seconds())
}

// ObserveToken observes the time to the first token of an answer if first is true, else the time since the previous token.
func (m *Metrics) ObserveToken(profile string, took time.Duration, first bool) {
	if first {
		m.firstToken.WithLabelValues(profile).Observe(took.Seconds())
		return
	}
	m.interToken.WithLabelValues(profile).Observe(took.Seconds())
}

// ObserveRouterTime observes the part of the time for one token in which the router did not wait for upstreams.
func (m *Metrics) ObserveRouterTime(took time.Duration) { m.routerTime.Observe(took.Seconds()) }

// CountStoreCall counts a call to the platform's store; result is the kind of its error, or OK.
func (m *Metrics) CountStoreCall(purpose, result string) {
	m.storeCalls.WithLabelValues(purpose, result).Inc()
}

// CallStarted counts a call as in flight until the returned function is called.
func (m *Metrics) CallStarted(kind string) func() {
	g := m.inFlightCalls.WithLabelValues(kind)
	g.Inc()
	return g.Dec
}

// SetQueuedCalls sets the number of waiting calls.
func (m *Metrics) SetQueuedCalls(calls int) { m.queuedCalls.Set(float64(calls)) }

// CountRetry counts an attempt of a call after its first one.
func (m *Metrics) CountRetry(kind string) { m.retries.WithLabelValues(kind).Inc() }

// CountRecovery counts the recovery of a running call in some way, such as after a crash.
func (m *Metrics) CountRecovery(way string) { m.recoveries.WithLabelValues(way).Inc() }

// CountDropped counts a dropped result or observation.
func (m *Metrics) CountDropped(reason string) { m.droppedResults.WithLabelValues(reason).Inc() }

// CountOrder counts a placement order.
func (m *Metrics) CountOrder(action, result string) {
	m.placementOrders.WithLabelValues(action, result).Inc()
}

// SetSuspects sets the number of suspect requests.
func (m *Metrics) SetSuspects(requests int) { m.suspectRequests.Set(float64(requests)) }

// SetLivePeers sets the number of live peers.
func (m *Metrics) SetLivePeers(peers int) { m.livePeers.Set(float64(peers)) }

// SetBookRevision sets the revision of the book in force and when it was last known to be the newest. The age since then is
// computed at each scrape, so that it also grows while the goroutine that calls SetBookRevision hangs.
func (m *Metrics) SetBookRevision(revision uint64, confirmedAt time.Time) {
	m.bookRevision.Set(float64(revision))
	m.bookConfirmedAt.Store(&confirmedAt)
}

// SetUnconfirmed sets whether neither the store nor a peer has confirmed the book within the freshness bound.
func (m *Metrics) SetUnconfirmed(unconfirmed bool) {
	value := 0.0
	if unconfirmed {
		value = 1
	}
	m.bookUnconfirmed.Set(value)
}

// SetForks sets the number of forks of the change log that this entry host met since its start.
func (m *Metrics) SetForks(forks uint32) { m.bookForks.Set(float64(forks)) }
