package mangoshutdown

import "time"

const (
	// minTimeLeft is the least time before the end of answers for a request to begin whose own deadline is later.
	minTimeLeft = 1200 * time.Millisecond
	// durationMargin is how many times the expected duration of a request other than a stream has to be left for it to begin:
	// the expected duration is that of the slowest recent requests.
	durationMargin = 2
)

// Request is what is known of a request before it begins.
type Request struct {
	// Stream says that the answer is a stream, and Repeatable that the request may run more than once.
	Stream, Repeatable bool
	// Timeout is the time until the request's own deadline, at which it ends in any case.
	Timeout time.Duration
	// Expected is how long the slowest recent requests of the route took, 0 if that is not known, and Target is how long they
	// should take at most. Neither bounds this request.
	Expected, Target time.Duration
}

// Admits reports whether a request that arrives during the stop can begin. One whose own deadline is earlier than the end of
// answers always can. Any other one might be cut off: once the load balancer can know of the stop it is refused, so that its caller
// goes to another daemon at once. Before that it begins unless such requests lately took longer than what is left; a request that
// may be repeated loses little then, if it is a stream, as its caller can resume it.
func (p Plan) Admits(r Request, now time.Time) bool {
	timeLeft := p.AnswerBy.Sub(now)
	switch {
	case r.Timeout <= timeLeft:
		return true
	case p.Phase(now) != Deregistering || timeLeft < minTimeLeft:
		return false
	case r.Stream:
		return r.Repeatable || r.Expected <= timeLeft
	default:
		return timeLeft >= durationMargin*max(r.Expected, r.Target)
	}
}
