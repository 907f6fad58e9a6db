package mangoload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxDetails bounds the failures that a result describes.
const maxDetails = 20

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
	group      CallStats
	offered    float64
	good       float64
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	longestGap *hdrhistogram.Histogram
}

func newTally() *tally {
	// 10 minutes in microseconds with 3 digits.
	create := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }
	return &tally{
		group:   CallStats{Outcomes: map[Outcome]int{}},
		latency: create(), firstToken: create(), gap: create(), longestGap: create(),
	}
}

func (t *tally) add(r report) {
	weight := r.arrival.kind.Weight
	t.group.Sent++
	t.group.Outcomes[r.outcome]++
	t.group.Retries += r.retries
	t.group.Tokens += len(r.tokens)
	t.offered += weight
	switch {
	case r.good():
		t.group.OnTime++
		t.good += weight
	case r.wrong:
		t.group.Wrong++
	case r.outcome == Answered:
		t.group.Late++
	}
	if r.outcome == Answered && !r.wrong {
		record(t.latency, r.latency)
		if len(r.tokens) > 0 {
			record(t.firstToken, r.tokens[0])
		}
	}
	var longest time.Duration
	for i := 1; i < len(r.tokens); i++ {
		gap := r.tokens[i] - r.tokens[i-1]
		record(t.gap, gap)
		longest = max(longest, gap)
	}
	if len(r.tokens) > 1 {
		record(t.longestGap, longest)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values are kept within the range of the histogram.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue()))
}

// summary returns the group for a counted time in seconds.
func (t *tally) summary(seconds float64) CallStats {
	g := t.group
	g.OfferedPerSecond, g.GoodputPerSecond = t.offered/seconds, t.good/seconds
	if t.offered > 0 {
		g.GoodputShare = t.good / t.offered
	}
	g.Latency, g.FirstToken, g.Gap, g.LongestGap = times(t.latency), times(t.firstToken), times(t.gap), times(t.longestGap)
	return g
}

func times(h *hdrhistogram.Histogram) *DurationSummary {
	if h.TotalCount() == 0 {
		return nil
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return &DurationSummary{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P95: at(95), P99: at(99),
		Max: float64(h.Max()) / 1000,
	}
}
