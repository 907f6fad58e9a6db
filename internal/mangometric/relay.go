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
	pathChanges     *prometheus.CounterVec
	restarts        *prometheus.CounterVec
	firstStages     *prometheus.CounterVec
	layerOrders     *prometheus.CounterVec
	storeRequests   *prometheus.CounterVec
	checks          *prometheus.CounterVec
	cutOffs         *prometheus.CounterVec
	admissions      *prometheus.CounterVec
	rankedStreams   *prometheus.CounterVec
	explanations    *prometheus.CounterVec
	seatRequests    *prometheus.CounterVec
	dataCentres     *prometheus.CounterVec
	roomTokens      *prometheus.GaugeVec
	demandTokens    *prometheus.GaugeVec
}

// RelayGauges has the functions that are called at each scrape for the values of the gauges.
type RelayGauges struct {
	ActiveRequests       func() float64
	Replicas             func() float64
	AvoidedReplicas      func() float64
	UnknownRequests      func() float64
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
		pathChanges:     newCounterVec("path_changes_total", "Attempts to replace lost replicas in the chain of a running request, by service and outcome.", "service", "outcome"),
		restarts:        newCounterVec("stream_restarts_total", "Streams that were sent anew after a loss, by service and whether they had begun.", "service", "started"),
		firstStages:     newCounterVec("first_stages_total", "Requests sent to the first stage of a chain, by service and use of its slots.", "service", "slots"),
		layerOrders:     newCounterVec("layer_orders_total", "Orders to hold layers, by reason and outcome.", "reason", "outcome"),
		storeRequests:   newCounterVec("store_requests_total", "Calls to the metadata store, by call and result.", "call", "result"),
		checks:          newCounterVec("replica_checks_total", "Connections that check a replica, by who made them, why and their result.", "who", "why", "result"),
		cutOffs:         newCounterVec("data_centre_cuts_total", "Begins and ends of states in which a data centre counts as cut off from this daemon.", "data_centre", "change"),
		admissions:      newCounterVec("admissions_total", "Decisions on new streams of services with several ranks, by rank and result.", "rank", "route_priority", "result"),
		rankedStreams:   newCounterVec("ranked_streams_total", "Ends of new streams of services with several ranks, by rank, caller, size and result.", "rank", "route_priority", "caller", "size", "result"),
		explanations:    newCounterVec("explanations_total", "Queries about where a request would go, by result.", "result"),
		seatRequests:    newCounterVec("seat_requests_total", "Requests of large hosts for the seat of a hub, by result.", "result"),
		dataCentres:     newCounterVec("data_centre_choices_total", "New requests by whether the data centre drawn by the shares is local or remote, or was passed over.", "service", "result"),
		roomTokens: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "mangopath", Name: "room_tokens", Help: "Free memory of the replicas of a service in a data centre, in tokens.",
		}, []string{"service", "data_centre"}),
		demandTokens: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "mangopath", Name: "demand_tokens", Help: "Memory in tokens that would be in use if all requests which arrive at the daemons of a data centre were admitted.",
		}, []string{"service", "data_centre"}),
	}
	all := []prometheus.Collector{
		m.requests, m.requestDuration, m.firstEvent, m.sends, m.repeats, m.pathChanges, m.restarts, m.layerOrders, m.storeRequests, m.checks, m.cutOffs, m.firstStages, m.admissions, m.rankedStreams, m.explanations, m.seatRequests, m.dataCentres, m.roomTokens, m.demandTokens,
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
		{"unknown_requests", "Requests that replicas report above those that daemons are known to have sent.", g.UnknownRequests},
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

// PathChange counts an attempt to replace lost replicas in the chain of a running request.
func (m *RelayMetrics) PathChange(service, outcome string) {
	m.pathChanges.WithLabelValues(service, outcome).Inc()
}

// Restart counts a stream that is sent anew after a loss; started says that its caller has a part of the answer.
func (m *RelayMetrics) Restart(service string, started bool) {
	m.restarts.WithLabelValues(service, strconv.FormatBool(started)).Inc()
}

// FirstStage counts a request that is sent to the first stage of a chain, by the use of its slots.
func (m *RelayMetrics) FirstStage(service, slots string) {
	m.firstStages.WithLabelValues(service, slots).Inc()
}

// Admission counts a decision on a new stream, by the two parts of its rank.
func (m *RelayMetrics) Admission(priority, routePriority int, result string) {
	m.admissions.WithLabelValues(strconv.Itoa(priority), strconv.Itoa(routePriority), result).Inc()
}

// RankedStream counts the end of a new stream of a service with several ranks, by the two parts of its rank.
func (m *RelayMetrics) RankedStream(priority, routePriority int, caller, size, result string) {
	m.rankedStreams.WithLabelValues(strconv.Itoa(priority), strconv.Itoa(routePriority), caller, size, result).Inc()
}

// CountExplanation counts a query about where a request would go.
func (m *RelayMetrics) CountExplanation(result string) {
	m.explanations.WithLabelValues(result).Inc()
}

// CountSeatRequest counts a request for the seat of a hub: Asked at the host that wants it, GivenUp or Kept at the one that holds it.
func (m *RelayMetrics) CountSeatRequest(result string) {
	m.seatRequests.WithLabelValues(result).Inc()
}

// Capacity sets the free memory and the demand for memory of a data centre, in tokens, as seen by the last decision.
func (m *RelayMetrics) Capacity(service, dataCentre string, room, demand float64) {
	m.roomTokens.WithLabelValues(service, dataCentre).Set(room)
	m.demandTokens.WithLabelValues(service, dataCentre).Set(demand)
}

// DataCentre counts the choice of a data centre for a new request.
func (m *RelayMetrics) DataCentre(service, result string) {
	m.dataCentres.WithLabelValues(service, result).Inc()
}

// CountOrder counts an order to a replica to hold layers.
func (m *RelayMetrics) CountOrder(reason, outcome string) {
	m.layerOrders.WithLabelValues(reason, outcome).Inc()
}

// CountOwnCheck counts a check of a replica that a daemon made for its own requests or after a report.
func (m *RelayMetrics) CountOwnCheck(why, result string) {
	m.checks.WithLabelValues("Daemon", why, result).Inc()
}

// CountCutOff counts the start (Cut) or the end (Back, Expired) of a state in which a data centre counts as cut off.
func (m *RelayMetrics) CountCutOff(dataCentre, change string) {
	m.cutOffs.WithLabelValues(dataCentre, change).Inc()
}

// CountHubCheck counts a check of a replica that a hub made for other daemons.
func (m *RelayMetrics) CountHubCheck(why, result string) {
	m.checks.WithLabelValues("Hub", why, result).Inc()
}

// CountStoreCall counts a call to the metadata store as Failed if err is not nil, else as Ok.
func (m *RelayMetrics) CountStoreCall(call string, err error) {
	result := "Ok"
	if err != nil {
		result = "Failed"
	}
	m.storeRequests.WithLabelValues(call, result).Inc()
}
