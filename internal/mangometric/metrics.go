package mangometric

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics has the metrics of one entry host. Its methods are safe for concurrent use and do not block.
type Metrics struct {
	calls               *prometheus.CounterVec
	callDuration        *prometheus.HistogramVec
	firstToken          *prometheus.HistogramVec
	interToken          *prometheus.HistogramVec
	routerTime          prometheus.Histogram
	storeCalls          *prometheus.CounterVec
	inFlightCalls       *prometheus.GaugeVec
	queuedCalls         prometheus.Gauge
	retries             *prometheus.CounterVec
	recoveries          *prometheus.CounterVec
	droppedResults      *prometheus.CounterVec
	placementOrders     *prometheus.CounterVec
	suspectRequests     prometheus.Gauge
	livePeers           prometheus.Gauge
	bookRevision        prometheus.Gauge
	bookUnconfirmed     prometheus.Gauge
	bookForks           prometheus.Gauge
	bookConfirmationAge prometheus.GaugeFunc
	// bookConfirmedAt is when the book was last known to be the newest; it is the start time before that.
	bookConfirmedAt atomic.Pointer[time.Time]
}

// New returns metrics whose collectors are registered, together with those of the process and the Go runtime. The error is
// of type *Error.
func New(registry prometheus.Registerer) (*Metrics, error) {
	m := newMetrics()
	start := time.Now()
	m.bookConfirmedAt.Store(&start)
	for _, c := range m.collectors() {
		if err := registry.Register(c); err != nil {
			return nil, &Error{Op: "New", Kind: KindRegister, Err: errors.WithStack(err)}
		}
	}
	process := []prometheus.Collector{
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector(),
	}
	for _, c := range process {
		var registered prometheus.AlreadyRegisteredError
		// Prometheus's default registry has these two already.
		if err := registry.Register(c); err != nil && !errors.As(err, &registered) {
			return nil, &Error{Op: "New", Kind: KindRegister, Err: errors.WithStack(err)}
		}
	}
	return m, nil
}

// newMetrics returns metrics whose collectors are not registered.
func newMetrics() *Metrics {
	m := &Metrics{
		calls:        newCounterVec("calls_total", "Calls that ended, by kind, outcome and reason.", "kind", "outcome", "reason"),
		callDuration: newHistogramVec("call_duration_seconds", "Time from the header of a request to the end of its answer.", durationBuckets(), "kind", "outcome"),
		firstToken:   newHistogramVec("time_to_first_token_seconds", "Time from the arrival of a call to its first token.", durationBuckets(), "profile"),
		interToken:   newHistogramVec("inter_token_seconds", "Time from one token of an answer to the next.", tokenGapBuckets(), "profile"),
		routerTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "mangopath", Name: "router_time_per_token_seconds",
			Help: "Time per token that was not spent waiting for upstreams.", Buckets: routerTimeBuckets(),
		}),
		storeCalls:      newCounterVec("store_calls_total", "Calls to the platform's store, by purpose and result.", "purpose", "result"),
		inFlightCalls:   newGaugeVec("in_flight_calls", "Calls that run now, by kind.", "kind"),
		queuedCalls:     newGauge("queued_calls", "Calls that wait for a chain."),
		retries:         newCounterVec("retries_total", "Attempts after the first, by kind of call.", "kind"),
		recoveries:      newCounterVec("recoveries_total", "Recoveries of running calls, by way: Resume, Move or Replay.", "way"),
		droppedResults:  newCounterVec("dropped_results_total", "Results and observations that were dropped, by reason.", "reason"),
		placementOrders: newCounterVec("placement_orders_total", "Placement orders, by action and result.", "action", "result"),
		suspectRequests: newGauge("suspect_requests", "Requests suspected of crashing upstreams."),
		livePeers:       newGauge("live_peers", "Other entry hosts that are live."),
		bookRevision:    newGauge("book_revision", "Revision of the book in force."),
		bookUnconfirmed: newGauge("book_unconfirmed", "1 when the book could not be confirmed within the freshness bound, else 0."),
		bookForks:       newGauge("book_forks", "Forks of the change log that this entry host met since its start."),
	}
	m.bookConfirmationAge = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "mangopath", Name: "book_confirmation_age_seconds",
		Help: "Time since the book was last known to be the newest.",
	}, func() float64 { return time.Since(*m.bookConfirmedAt.Load()).Seconds() })
	return m
}

// collectors returns all collectors of m, for registration.
func (m *Metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.calls, m.callDuration, m.firstToken, m.interToken, m.routerTime, m.storeCalls, m.inFlightCalls, m.queuedCalls, m.retries,
		m.recoveries, m.droppedResults, m.placementOrders, m.suspectRequests, m.livePeers, m.bookRevision, m.bookUnconfirmed, m.bookForks,
		m.bookConfirmationAge,
	}
}

// durationBuckets returns the buckets for calls and requests. The objective for the first token, 1.9 s, is one of the
// bounds.
func durationBuckets() []float64 {
	return []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.9, 2.5, 5, 10, 30, 60}
}

// tokenGapBuckets returns the buckets for the time between tokens. The objective for it, 56 ms, and those for the recovery
// of a call, 1 s and 2 s, are among the bounds.
func tokenGapBuckets() []float64 {
	return []float64{0.002, 0.005, 0.01, 0.02, 0.04, 0.056, 0.1, 0.25, 0.5, 1, 2, 5}
}

// routerTimeBuckets returns the buckets for the router's own time. The objective for it, 1 ms, is one of the bounds.
func routerTimeBuckets() []float64 {
	return []float64{0.00002, 0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.02}
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "mangopath", Name: name, Help: help}, labels)
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "mangopath", Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "mangopath", Name: name, Help: help})
}

func newHistogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Namespace: "mangopath", Name: name, Help: help, Buckets: buckets}, labels,
	)
}
