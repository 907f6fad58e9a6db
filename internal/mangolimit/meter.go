package mangolimit

import (
	"math"
	"time"
)

// meter measures a rate of events with weights that decay exponentially.
type meter struct {
	weight float64
	// at is the time of weight, and since that of the first event.
	at, since time.Time
}

// decay returns what is left after a time of a weight that decays with a time constant.
func decay(after, constant time.Duration) float64 {
	return math.Exp(-max(after, 0).Seconds() / constant.Seconds())
}

// add counts an event.
func (m *meter) add(now time.Time, constant time.Duration) {
	if m.since.IsZero() {
		m.since, m.at = now, now
	}
	m.weight = m.weight*decay(now.Sub(m.at), constant) + 1
	m.at = now
}

// perSecond returns the events a second. While the first event is recent, it is the mean since then.
func (m *meter) perSecond(now time.Time, constant time.Duration) float64 {
	if m.since.IsZero() {
		return 0
	}
	seen := 1 - decay(max(now.Sub(m.since), minMeasured), constant)
	return m.weight * decay(now.Sub(m.at), constant) / constant.Seconds() / seen
}
