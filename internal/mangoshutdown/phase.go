package mangoshutdown

// Phase is a part of a stop.
type Phase int

const (
	// Deregistering is the phase in which the load balancer may not have noticed the stop.
	Deregistering Phase = iota
	// Draining is the phase after it, in which requests are still answered.
	Draining
	// Finishing is the phase in which only answers that have begun go on; all other requests get their last answer.
	Finishing
	// Closing is the phase in which nothing is answered and all connections are closed.
	Closing
)

// String returns the name of a phase as it appears in logs.
func (p Phase) String() string {
	return [...]string{"Deregistering", "Draining", "Finishing", "Closing"}[p]
}
