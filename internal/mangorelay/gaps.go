package mangorelay

import "time"

const (
	// minGapSamples is the number of gaps from which an estimate is used. The deviation begins at half of the first gap, as in
	// RFC 6298, and has fallen to a fifteenth of it after eight regular gaps.
	minGapSamples = 8
	// gapMeanDivisor and gapDeviationDivisor are the inverse gains of the moving mean and deviation, and gapDeviations is the number
	// of deviations above the mean from which a silence is unusual. The values are those of RFC 6298.
	gapMeanDivisor      = 8
	gapDeviationDivisor = 4
	gapDeviations       = 4
	// gapMarginDivisor divides the mean; a silence is unusual only if it exceeds the mean by more than the result, since the
	// deviation of a regular stream approaches 0.
	gapMarginDivisor = 2
	// gapWindow is the number of gaps in each of the two windows whose longest gap is remembered, and longestMarginDivisor divides the
	// mean; a silence is unusual only if it exceeds that gap by more than the result. Without it a stream with regular gaps and one in
	// fifty of twice the length would have its replicas checked each time, as the deviation has fallen by then.
	gapWindow            = 64
	longestMarginDivisor = 8
	// minSoftLimit is the least estimated limit, one and a half gaps of 30 ms. Events take up to 30 ms from a stage to the daemon, and
	// the leastSilence of mangocheck depends on this limit.
	minSoftLimit = 45 * time.Millisecond
)

// gapEstimator estimates the silence after which the next event of a stream is overdue, from the gaps between its events.
type gapEstimator struct {
	mean, deviation time.Duration
	samples         int
	// longest is the longest gap of the present window, and longestBefore that of the one before.
	longest, longestBefore time.Duration
	// lastAt is when the last event arrived; zero if it came along another chain, or may have been in a buffer before.
	lastAt time.Time
}

// arrived records the arrival of an event; waited says that a read has waited for it. An event without a wait may have been in a buffer,
// behind a caller that reads slowly, so the gaps before and after it are not known.
func (e *gapEstimator) arrived(at time.Time, waited bool) {
	previous := e.lastAt
	e.lastAt = time.Time{}
	if !waited {
		return
	}
	e.lastAt = at
	if !previous.IsZero() {
		e.add(at.Sub(previous))
	}
}

// add records a gap.
func (e *gapEstimator) add(gap time.Duration) {
	if e.samples == 0 {
		e.mean, e.deviation = gap, gap/2
	} else {
		e.deviation += ((gap - e.mean).Abs() - e.deviation) / gapDeviationDivisor
		e.mean += (gap - e.mean) / gapMeanDivisor
	}
	e.longest = max(e.longest, gap)
	e.samples++
	if e.samples%gapWindow == 0 {
		e.longest, e.longestBefore = 0, e.longest
	}
}

// restart forgets the gaps, because the stream goes on along another chain. The gap that lasts until its first event there is not
// recorded, as it includes the loss and a prefill.
func (e *gapEstimator) restart() { *e = gapEstimator{} }

// limit returns the silence after which the next event is overdue. It is at most maximum, which also is the result if there are too
// few gaps for an estimate.
func (e *gapEstimator) limit(maximum time.Duration) time.Duration {
	if e.samples < minGapSamples {
		return maximum
	}
	longest := max(e.longest, e.longestBefore) + e.mean/longestMarginDivisor
	return min(max(minSoftLimit, longest, e.mean+max(gapDeviations*e.deviation, e.mean/gapMarginDivisor)), maximum)
}
