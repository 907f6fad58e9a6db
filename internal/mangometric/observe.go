package mangometric

import "time"

// CallDone counts a call; reason is the kind of its error, empty for an answer.
func (m *Metrics) CallDone(kind, outcome, reason string, took time.Duration) {
	m.calls.WithLabelValues(kind, outcome, reason).Inc()
	m.callTime.WithLabelValues(kind, outcome).Observe(took.Seconds())
}

// Token observes the time to the first token of an answer, or from one token to the next.
func (m *Metrics) Token(profile string, took time.Duration, first bool) {
	if first {
		m.firstToken.WithLabelValues(profile).Observe(took.Seconds())
		return
	}
	m.interToken.WithLabelValues(profile).Observe(took.Seconds())
}

// RouterTime observes the time for one token that was not spent waiting for upstreams.
func (m *Metrics) RouterTime(took time.Duration) { m.routerTime.Observe(took.Seconds()) }

// StoreCall counts a call to the platform's store; result is the kind of its error, or OK.
func (m *Metrics) StoreCall(purpose, result string) {
	m.storeCalls.WithLabelValues(purpose, result).Inc()
}

// CallStarted counts a call as in flight until the returned function is called.
func (m *Metrics) CallStarted(kind string) func() {
	g := m.inFlight.WithLabelValues(kind)
	g.Inc()
	return g.Dec
}

// Queued sets the number of waiting calls.
func (m *Metrics) Queued(calls int) { m.queued.Set(float64(calls)) }

// Retry counts an attempt after the first.
func (m *Metrics) Retry(kind string) { m.retries.WithLabelValues(kind).Inc() }

// Recovery counts the recovery of a running call; way is Resume, Move or Replay.
func (m *Metrics) Recovery(way string) { m.recoveries.WithLabelValues(way).Inc() }

// Dropped counts a dropped result or observation.
func (m *Metrics) Dropped(reason string) { m.dropped.WithLabelValues(reason).Inc() }

// Order counts a placement order.
func (m *Metrics) Order(action, result string) { m.orders.WithLabelValues(action, result).Inc() }

// Suspects sets the number of suspect requests.
func (m *Metrics) Suspects(requests int) { m.suspects.Set(float64(requests)) }

// Peers sets the number of live peers.
func (m *Metrics) Peers(peers int) { m.peers.Set(float64(peers)) }

// Confirmed sets the revision of the book and when it was known to be the newest. The age is computed at each
// scrape, so that it also grows while the control goroutine hangs.
func (m *Metrics) Confirmed(revision uint64, at time.Time) {
	m.revision.Set(float64(revision))
	m.confirmed.Store(&at)
}

// Unconfirmed sets whether the book is past the freshness bound without an answer from store or peers.
func (m *Metrics) Unconfirmed(unconfirmed bool) {
	value := 0.0
	if unconfirmed {
		value = 1
	}
	m.unconfirmed.Set(value)
}

// Forks sets the number of forks of the change log that this entry host met since its start.
func (m *Metrics) Forks(forks uint32) { m.forks.Set(float64(forks)) }
