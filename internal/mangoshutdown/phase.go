package mangoshutdown

// Phase is a part of a stop.
type Phase int

const (
	// Deregistering is the phase in which the load balancer may not have noticed the stop.
	Deregistering Phase = iota
	// Draining is the phase after it, up to the time by which all requests have to be answered.
	Draining
	// Closing is the phase of the last answers.
	Closing
)

// String returns the name of a phase as it appears in logs.
func (p Phase) String() string { return [...]string{"Deregistering", "Draining", "Closing"}[p] }
