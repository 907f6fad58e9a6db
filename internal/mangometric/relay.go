package mangometric

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// RelayMetrics has the collectors of a daemon that serves the platform's requests. Its methods are safe for concurrent use and
// do not block.
type RelayMetrics struct {
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec
	sends      *prometheus.CounterVec
	retries    *prometheus.CounterVec
	orders     *prometheus.CounterVec
	store      *prometheus.CounterVec
}

// RelayGauges are read when metrics are collected.
type RelayGauges struct {
	ActiveRequests        func() float64
	Replicas      func() float64
	AvoidedReplicas       func() float64
	Members       func() float64
	ConfigurationVersion       func() float64
	StoreAge      func() float64
	StoreReachable       func() float64
	HoldsPlacementLease    func() float64
	DroppedLogLines  func() float64
	BlockedRequests  func() float64
	CoveredDataCentres func() float64
}

// NewRelay registers the collectors, and those of the process and the Go runtime. The error is an *Error.
func NewRelay(registry prometheus.Registerer) (*RelayMetrics, error) {
	m := &RelayMetrics{
		requests:   counters("requests_total", "Requests that ended, by route, kind, outcome and status.", "route", "kind", "outcome", "status"),
		duration:   histograms("request_duration_seconds", "Time from the arrival of a request to the end of its answer.", secondBuckets(), "kind", "outcome"),
		firstEvent: histograms("time_to_first_event_seconds", "Time from the arrival of a request to the first event of its stream.", secondBuckets(), "route"),
		sends:      counters("sends_total", "Tries of requests at upstreams, by service and result.", "service", "result"),
		retries:    counters("repeats_total", "Sends after one that reached an upstream, by service and reason.", "service", "reason"),
		orders:     counters("layer_orders_total", "Orders to hold layers, by reason and outcome.", "reason", "outcome"),
		store:      counters("store_requests_total", "Calls to the metadata store, by call and result.", "call", "result"),
	}
	all := []prometheus.Collector{
		m.requests, m.duration, m.firstEvent, m.sends, m.retries, m.orders, m.store,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector(),
	}
	for _, c := range all {
		if err := registry.Register(c); err != nil {
			return nil, &Error{Op: "NewRelay", Kind: KindRegister, Err: errors.WithStack(err)}
		}
	}
	return m, nil
}

// RegisterGauges registers gauges.
func (m *RelayMetrics) RegisterGauges(registry prometheus.Registerer, g RelayGauges) error {
	rows := []struct {
		name, help string
		read       func() float64
	}{
		{"active_requests", "Requests that run now.", g.ActiveRequests},
		{"replicas", "Replicas with an entry in the store.", g.Replicas},
		{"avoided_replicas", "Replicas that get no requests for a while.", g.AvoidedReplicas},
		{"members", "Live daemons, this one included.", g.Members},
		{"configuration_version", "Version of the configuration in force.", g.ConfigurationVersion},
		{"store_age_seconds", "Time since the last answer of the store.", g.StoreAge},
		{"store_reachable", "1 when the store answered the last call, else 0.", g.StoreReachable},
		{"holds_placement", "1 when this daemon gives orders to engines, else 0.", g.HoldsPlacementLease},
		{"dropped_log_lines", "Log lines dropped since the start.", g.DroppedLogLines},
		{"condemned_requests", "Requests that are refused because they crash upstreams.", g.BlockedRequests},
		{"covered_data_centres", "Data centres whose replicas hold all layers.", g.CoveredDataCentres},
	}
	for _, r := range rows {
		c := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "mangopath", Name: r.name, Help: r.help}, r.read)
		if err := registry.Register(c); err != nil {
			return &Error{Op: "Watch", Kind: KindRegister, Err: errors.WithStack(err)}
		}
	}
	return nil
}

// Request counts a request that ended.
func (m *RelayMetrics) Request(route, kind, outcome string, status int, took time.Duration) {
	m.requests.WithLabelValues(route, kind, outcome, strconv.Itoa(status)).Inc()
	m.duration.WithLabelValues(kind, outcome).Observe(took.Seconds())
}

// FirstEvent observes the time to the first event of a stream.
func (m *RelayMetrics) FirstEvent(route string, took time.Duration) {
	m.firstEvent.WithLabelValues(route).Observe(took.Seconds())
}

// Send counts a try at an upstream.
func (m *RelayMetrics) Send(service, result string) { m.sends.WithLabelValues(service, result).Inc() }

// Retry counts a send after one that reached an upstream.
func (m *RelayMetrics) Retry(service, reason string) { m.retries.WithLabelValues(service, reason).Inc() }

// CountOrder counts an order to hold layers.
func (m *RelayMetrics) CountOrder(reason, outcome string) { m.orders.WithLabelValues(reason, outcome).Inc() }

// CountStoreCall counts a call to the metadata store.
func (m *RelayMetrics) CountStoreCall(call string, err error) {
	result := "Ok"
	if err != nil {
		result = "Failed"
	}
	m.store.WithLabelValues(call, result).Inc()
}
