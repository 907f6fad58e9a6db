package mangoload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxFailureDetails bounds the number of failures that a result describes.
const maxFailureDetails = 20

// DurationSummary holds the mean and the quantiles of measured durations, in milliseconds.
type DurationSummary struct {
	Count int64
	Mean  float64
	P50   float64
	P90   float64
	P95   float64
	P99   float64
	Max   float64
}

// CallStats holds the counts and durations of all calls, or of those of a kind or customer.
type CallStats struct {
	Sent     int
	Outcomes map[Outcome]int
	Retries  int
	// OnTime counts calls that were answered in full, correctly and before the deadline, Late those whose right answer was
	// complete only after the deadline, and Wrong those with an unexpected answer.
	OnTime int
	Late   int
	Wrong  int
	Tokens int
	// OfferedPerSecond and GoodputPerSecond are the summed weights of all calls and of those on time, per counted second.
	OfferedPerSecond float64
	GoodputPerSecond float64
	// GoodputShare is the ratio of goodput to offered load.
	GoodputShare float64
	// Latency and FirstToken are the times from the intended time to the end and to the first token of right answers.
	Latency    *DurationSummary `json:",omitempty"`
	FirstToken *DurationSummary `json:",omitempty"`
	// Gap is the time between successive tokens of a stream, LongestGap the longest one of each stream. Both include streams
	// that broke off.
	Gap        *DurationSummary `json:",omitempty"`
	LongestGap *DurationSummary `json:",omitempty"`
}

// Result holds the measurements of a run.
type Result struct {
	Seed uint64
	// Seconds is the counted time, without warm-up and cool-down.
	Seconds   float64
	Total     CallStats
	Kinds     map[string]CallStats
	Customers map[string]CallStats
	// Details describe the first failures and wrong answers.
	Details []string
	// AllTokens is the number of tokens of all calls, including those of warm-up and cool-down.
	AllTokens int
	// MaxSendDelayMs is the largest delay between a call's intended time and its start by the generator.
	MaxSendDelayMs float64
}

// tally accumulates the reports of a set of calls.
type tally struct {
	stats         CallStats
	offeredWeight float64
	onTimeWeight  float64
	latency       *hdrhistogram.Histogram
	firstToken    *hdrhistogram.Histogram
	gap           *hdrhistogram.Histogram
	longestGap    *hdrhistogram.Histogram
}

func newTally() *tally {
	// The histograms hold up to 10 minutes in microseconds, with 3 significant digits.
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }
	return &tally{
		stats:   CallStats{Outcomes: map[Outcome]int{}},
		latency: newHistogram(), firstToken: newHistogram(), gap: newHistogram(), longestGap: newHistogram(),
	}
}

func (t *tally) add(r callReport) {
	weight := r.arrival.kind.Weight
	t.stats.Sent++
	t.stats.Outcomes[r.outcome]++
	t.stats.Retries += r.retries
	t.stats.Tokens += len(r.tokenTimes)
	t.offeredWeight += weight
	switch {
	case r.isOnTime():
		t.stats.OnTime++
		t.onTimeWeight += weight
	case r.isWrong:
		t.stats.Wrong++
	case r.outcome == Answered:
		t.stats.Late++
	}
	if r.outcome == Answered && !r.isWrong {
		recordDuration(t.latency, r.latency)
		if len(r.tokenTimes) > 0 {
			recordDuration(t.firstToken, r.tokenTimes[0])
		}
	}
	var longest time.Duration
	for i := 1; i < len(r.tokenTimes); i++ {
		gap := r.tokenTimes[i] - r.tokenTimes[i-1]
		recordDuration(t.gap, gap)
		longest = max(longest, gap)
	}
	if len(r.tokenTimes) > 1 {
		recordDuration(t.longestGap, longest)
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, since RecordValue fails outside it.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue()))
}

// summary returns the statistics, with rates over the counted time in seconds.
func (t *tally) summary(seconds float64) CallStats {
	g := t.stats
	g.OfferedPerSecond, g.GoodputPerSecond = t.offeredWeight/seconds, t.onTimeWeight/seconds
	if t.offeredWeight > 0 {
		g.GoodputShare = t.onTimeWeight / t.offeredWeight
	}
	g.Latency, g.FirstToken, g.Gap, g.LongestGap = summarise(t.latency), summarise(t.firstToken), summarise(t.gap), summarise(t.longestGap)
	return g
}

// summarise returns the summary of a histogram of microseconds, or nil if it is empty.
func summarise(h *hdrhistogram.Histogram) *DurationSummary {
	if h.TotalCount() == 0 {
		return nil
	}
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return &DurationSummary{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: quantile(50), P90: quantile(90), P95: quantile(95), P99: quantile(99),
		Max: float64(h.Max()) / 1000,
	}
}
