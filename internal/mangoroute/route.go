package mangoroute

import "time"

// Kind says what may be repeated.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with events; they may run again only if the route is resumable.
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

// WeightedService is the part of a route's requests that goes to a service.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says how requests of a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a stream, is on time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events for which a stream is on time.
	GapTarget time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Services   []WeightedService
	// MaxAttempts is the number of replicas that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another replica after the last event that arrived.
	Resumable bool
	// Pipelined requests go to engines that hold a part of the model each.
	Pipelined bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// PickService picks the service for a request; random is in [0, 1).
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
