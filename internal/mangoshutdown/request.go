package mangoshutdown

import "time"

const (
	// minTimeLeft is the least time before the end of a stop for a request to begin whose own deadline is later.
	minTimeLeft = 1200 * time.Millisecond
	// durationMargin is how many times the expected duration has to be left for a request to begin whose own deadline is later:
	// the expected duration is that of the slowest recent requests.
	durationMargin = 2
)

// Request is what is known of a request before it begins.
type Request struct {
	// Stream says that the answer is a stream, and Repeatable that the request may run more than once.
	Stream, Repeatable bool
	// Timeout is the time until the request's own deadline.
	Timeout time.Duration
	// Expected is how long such requests take, 0 if that is not known, and Target is how long they should take at most.
	Expected, Target time.Duration
}

// Admits reports whether a request that arrives during the stop can begin: it surely ends before the daemon does, or, by what is
// known of such requests, most probably. A request that may not be repeated must not begin and then be cut off. The target of a
// stream bounds only its first event, so a stream of which nothing is known begins only while the load balancer cannot know
// better.
func (p Plan) Admits(r Request, now time.Time) bool {
	timeLeft := p.AnswerBy.Sub(now)
	switch {
	case r.Timeout <= timeLeft:
		return true
	case r.Stream && p.Phase(now) == Deregistering:
		return r.Repeatable || r.Expected <= timeLeft
	case r.Stream:
		return r.Expected > 0 && durationMargin*r.Expected <= timeLeft
	default:
		return timeLeft >= max(minTimeLeft, durationMargin*max(r.Expected, r.Target))
	}
}
