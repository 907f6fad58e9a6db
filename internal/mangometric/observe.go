package mangometric

import "time"

// CallDone counts a call; reason is the kind of its error, empty for an answer.
func (m *Metrics) CallDone(kind, outcome, reason string, took time.Duration) {
	m.calls.WithLabelValues(kind, outcome, reason).Inc()
	m.callTime.WithLabelValues(kind, outcome).Observe(took.Seconds())
}

// ObserveToken observes the time to the first token of an answer, or from one token to the next.
func (m *Metrics) ObserveToken(profile string, took time.Duration, first bool) {
	if first {
		m.firstToken.WithLabelValues(profile).Observe(took.Seconds())
		return
	}
	m.interToken.WithLabelValues(profile).Observe(took.Seconds())
}

// ObserveRouterTime observes the time for one token that was not spent waiting for upstreams.
func (m *Metrics) ObserveRouterTime(took time.Duration) { m.routerTime.Observe(took.Seconds()) }

// CountStoreCall counts a call to the platform's store; result is the kind of its error, or OK.
func (m *Metrics) CountStoreCall(purpose, result string) {
	m.storeCalls.WithLabelValues(purpose, result).Inc()
}

// CallStarted counts a call as in flight until the returned function is called.
func (m *Metrics) CallStarted(kind string) func() {
	g := m.inFlight.WithLabelValues(kind)
	g.Inc()
	return g.Dec
}

// SetQueuedCalls sets the number of waiting calls.
func (m *Metrics) SetQueuedCalls(calls int) { m.queued.Set(float64(calls)) }

// CountRetry counts an attempt after the first.
func (m *Metrics) CountRetry(kind string) { m.retries.WithLabelValues(kind).Inc() }

// CountRecovery counts the recovery of a running call; way is Resume, Move or Replay.
func (m *Metrics) CountRecovery(way string) { m.recoveries.WithLabelValues(way).Inc() }

// CountDropped counts a dropped result or observation.
func (m *Metrics) CountDropped(reason string) { m.dropped.WithLabelValues(reason).Inc() }

// CountOrder counts a placement order.
func (m *Metrics) CountOrder(action, result string) { m.orders.WithLabelValues(action, result).Inc() }

// SetSuspects sets the number of suspect requests.
func (m *Metrics) SetSuspects(requests int) { m.suspects.Set(float64(requests)) }

// SetLivePeers sets the number of live peers.
func (m *Metrics) SetLivePeers(peers int) { m.peers.Set(float64(peers)) }

// SetBookRevision sets the revision of the book and when it was known to be the newest. The age is computed at each
// scrape, so that it also grows while the control goroutine hangs.
func (m *Metrics) SetBookRevision(revision uint64, at time.Time) {
	m.revision.Set(float64(revision))
	m.confirmed.Store(&at)
}

// SetUnconfirmed sets whether the book is past the freshness bound without an answer from store or peers.
func (m *Metrics) SetUnconfirmed(unconfirmed bool) {
	value := 0.0
	if unconfirmed {
		value = 1
	}
	m.unconfirmed.Set(value)
}

// SetForks sets the number of forks of the change log that this entry host met since its start.
func (m *Metrics) SetForks(forks uint32) { m.forks.Set(float64(forks)) }
