package mangocapacity

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of measured rates. They are about as smooth as means over 2 s: a few
	// percent of noise at some hundred requests per second.
	decayTime = time.Second
	// minRate is the rate per second below which nothing is reported. A single event falls below it after about 6 s.
	minRate = 0.003
)

// decay returns the part of a weight that is left after a time.
func decay(after time.Duration) float64 {
	return math.Exp(-max(after, 0).Seconds() / decayTime.Seconds())
}

// demandMeter measures a demand. The sum of the rates of many daemons needs no correction for the time since the first event.
type demandMeter struct {
	weight Demand
	at     time.Time
}

func (m *demandMeter) add(d Demand, now time.Time) {
	m.weight, m.at = m.weight.scaled(decay(now.Sub(m.at))).With(d), now
}

func (m *demandMeter) rate(now time.Time) Demand {
	return m.weight.scaled(decay(now.Sub(m.at)) / decayTime.Seconds())
}

// progressMeter measures the rates of a Progress, and counts what is pending.
type progressMeter struct {
	// rates has only the rates of a Progress, and pending only what waits, both as of at.
	rates, pending Progress
	at             time.Time
}

// advance brings the meter to a time.
func (m *progressMeter) advance(now time.Time) {
	after := max(now.Sub(m.at), 0)
	if m.at.IsZero() {
		after = 0
	}
	m.rates = m.scaled(decay(after))
	m.pending.PendingSeconds += m.pending.Pending * after.Seconds()
	m.at = now
}

// begin counts a request that waits for its first event.
func (m *progressMeter) begin(promptTokens float64, now time.Time) {
	m.advance(now)
	m.pending.Pending++
	m.pending.PendingTokens += promptTokens
}

// leave removes a request that has waited for a time from those that wait.
func (m *progressMeter) leave(promptTokens float64, waited time.Duration, now time.Time) {
	m.advance(now)
	m.pending = m.pending.without(Progress{Pending: 1, PendingTokens: promptTokens, PendingSeconds: waited.Seconds()})
	if m.pending.Pending == 0 {
		// Clears accumulated rounding errors.
		m.pending = Progress{}
	}
}

// add adds events to the rates.
func (m *progressMeter) add(p Progress, now time.Time) {
	m.advance(now)
	m.rates = m.rates.With(p)
}

func (m *progressMeter) progress(now time.Time) Progress {
	m.advance(now)
	return m.scaled(1 / decayTime.Seconds()).With(m.pending)
}

func (m *progressMeter) scaled(f float64) Progress {
	return Progress{ReadTokens: m.rates.ReadTokens * f, EndedSteps: m.rates.EndedSteps * f, EndedSeconds: m.rates.EndedSeconds * f}
}
