package mangometric

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// RelayMetrics has the metrics of a daemon that serves the platform's requests. Its methods are safe for concurrent use and
// do not block.
type RelayMetrics struct {
	requests        *prometheus.CounterVec
	requestDuration *prometheus.HistogramVec
	firstEvent      *prometheus.HistogramVec
	sends           *prometheus.CounterVec
	repeats         *prometheus.CounterVec
	layerOrders     *prometheus.CounterVec
	storeRequests   *prometheus.CounterVec
}

// RelayGauges has the functions that are called at each scrape for the values of the gauges.
type RelayGauges struct {
	ActiveRequests       func() float64
	Replicas             func() float64
	AvoidedReplicas      func() float64
	Members              func() float64
	ConfigurationVersion func() float64
	StoreAge             func() float64
	StoreReachable       func() float64
	HoldsPlacementLease  func() float64
	DroppedLogLines      func() float64
	BlockedRequests      func() float64
	CoveredDataCentres   func() float64
	KeptBytes            func() float64
}

// NewRelay returns metrics whose collectors are registered, together with those of the process and the Go runtime. The error
// is of type *Error.
func NewRelay(registry prometheus.Registerer) (*RelayMetrics, error) {
	m := &RelayMetrics{
		requests:        newCounterVec("requests_total", "Requests that ended, by route, kind, outcome and status.", "route", "kind", "outcome", "status"),
		requestDuration: newHistogramVec("request_duration_seconds", "Time from the arrival of a request to the end of its answer.", durationBuckets(), "kind", "outcome"),
		firstEvent:      newHistogramVec("time_to_first_event_seconds", "Time from the arrival of a request to the first event of its stream.", durationBuckets(), "route"),
		sends:           newCounterVec("sends_total", "Requests sent to upstreams, retries included, by service and result.", "service", "result"),
		repeats:         newCounterVec("repeats_total", "Sends after one that reached an upstream, by service and reason.", "service", "reason"),
		layerOrders:     newCounterVec("layer_orders_total", "Orders to hold layers, by reason and outcome.", "reason", "outcome"),
		storeRequests:   newCounterVec("store_requests_total", "Calls to the metadata store, by call and result.", "call", "result"),
	}
	all := []prometheus.Collector{
		m.requests, m.requestDuration, m.firstEvent, m.sends, m.repeats, m.layerOrders, m.storeRequests,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector(),
	}
	for _, c := range all {
		if err := registry.Register(c); err != nil {
			return nil, &Error{Op: "NewRelay", Kind: KindRegister, Err: errors.WithStack(err)}
		}
	}
	return m, nil
}

// RegisterGauges registers a collector for each gauge. The error is of type *Error.
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
		{"kept_bytes", "Bytes of requests and answers that are kept now.", g.KeptBytes},
	}
	for _, r := range rows {
		c := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "mangopath", Name: r.name, Help: r.help}, r.read)
		if err := registry.Register(c); err != nil {
			return &Error{Op: "Watch", Kind: KindRegister, Err: errors.WithStack(err)}
		}
	}
	return nil
}

// Request counts a request that ended and observes its duration.
func (m *RelayMetrics) Request(route, kind, outcome string, status int, took time.Duration) {
	m.requests.WithLabelValues(route, kind, outcome, strconv.Itoa(status)).Inc()
	m.requestDuration.WithLabelValues(kind, outcome).Observe(took.Seconds())
}

// FirstEvent observes the time from the arrival of a request to the first event of its stream.
func (m *RelayMetrics) FirstEvent(route string, took time.Duration) {
	m.firstEvent.WithLabelValues(route).Observe(took.Seconds())
}

// Send counts a request that was sent to an upstream, by its result.
func (m *RelayMetrics) Send(service, result string) { m.sends.WithLabelValues(service, result).Inc() }

// Retry counts a send of a request that had already reached an upstream.
func (m *RelayMetrics) Retry(service, reason string) {
	m.repeats.WithLabelValues(service, reason).Inc()
}

// CountOrder counts an order to a replica to hold layers.
func (m *RelayMetrics) CountOrder(reason, outcome string) {
	m.layerOrders.WithLabelValues(reason, outcome).Inc()
}

// CountStoreCall counts a call to the metadata store as Failed if err is not nil, else as Ok.
func (m *RelayMetrics) CountStoreCall(call string, err error) {
	result := "Ok"
	if err != nil {
		result = "Failed"
	}
	m.storeRequests.WithLabelValues(call, result).Inc()
}
