package mangoroute

import "time"

// Kind says whether requests of a route may run more than once.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a stream of events; they may run again only if the route is resumable.
	Stream
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case NonIdempotent:
		return "NonIdempotent"
	case Idempotent:
		return "Idempotent"
	case Stream:
		return "Stream"
	default:
		return "Unknown"
	}
}

// WeightedService is a service of a route and its weight. The service gets the share of the requests that its weight has in
// the sum of the route's weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says how requests for a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the end of the answer; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which the answer, or the first event of a stream, should arrive.
	LatencyTarget time.Duration
	// GapTarget is the time within which each further event of a stream should follow the one before.
	GapTarget time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// MaxAttempts bounds the number of replicas to which one request may be sent.
	MaxAttempts int
	// Public routes accept requests without a customer's key.
	Public bool
	// Resumable streams may be continued at another replica after the last event that arrived.
	Resumable bool
	// Pipelined requests go through a chain of engines, each of which holds some of the model's layers.
	Pipelined bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// PickService picks the service for a request by weight; random is a random number in [0, 1).
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	at := random * total
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}
