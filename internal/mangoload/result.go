package mangoload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxDetails bounds the failures that a result describes.
const maxFailureDetails = 20

// DurationSummary are a histogram's summary in milliseconds.
type DurationSummary struct {
	Count int64
	Mean  float64
	P50   float64
	P90   float64
	P95   float64
	P99   float64
	Max   float64
}

// CallStats is the counts and times of some of the calls.
type CallStats struct {
	Sent     int
	Outcomes map[Outcome]int
	Retries  int
	// OnTime calls were answered whole, right and on time; Late ones whole and right, but past the deadline.
	OnTime int
	Late   int
	Wrong  int
	Tokens int
	// OfferedPerSecond and GoodputPerSecond are sums of the weights of all calls and of those on time.
	OfferedPerSecond float64
	GoodputPerSecond float64
	// GoodputShare is goodput by offered load.
	GoodputShare float64
	// Latency and FirstToken count from the intended time, of whole and right answers.
	Latency    *DurationSummary `json:",omitempty"`
	FirstToken *DurationSummary `json:",omitempty"`
	// Gap is between tokens of a stream; LongestGap is the longest one of each stream, also of those that broke off.
	Gap        *DurationSummary `json:",omitempty"`
	LongestGap *DurationSummary `json:",omitempty"`
}

// Result is what a run gave. Details describe the first failures.
type Result struct {
	Seed      uint64
	Seconds   float64
	Total     CallStats
	Kinds     map[string]CallStats
	Customers map[string]CallStats
	Details   []string
	// AllTokens are those of all calls, with warm-up and cool-down.
	AllTokens int
	// MaxSendDelayMs is how far the generator itself fell behind the intended times.
	MaxSendDelayMs float64
}

// tally collects the reports of a group.
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
	// 10 minutes in microseconds with 3 digits.
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
	// Values are kept within the range of the histogram.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue()))
}

// summary returns the group for a counted time in seconds.
func (t *tally) summary(seconds float64) CallStats {
	g := t.stats
	g.OfferedPerSecond, g.GoodputPerSecond = t.offeredWeight/seconds, t.onTimeWeight/seconds
	if t.offeredWeight > 0 {
		g.GoodputShare = t.onTimeWeight / t.offeredWeight
	}
	g.Latency, g.FirstToken, g.Gap, g.LongestGap = summarise(t.latency), summarise(t.firstToken), summarise(t.gap), summarise(t.longestGap)
	return g
}

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
