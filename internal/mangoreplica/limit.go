package mangoreplica

// RateLimit is what an answer of a replica says about the number of requests that it takes from all daemons together.
type RateLimit struct {
	// Named says that there is a limit, of PerSecond requests a second.
	Named     bool
	PerSecond float64
	// Unreadable says that the answer has a limit that can't be read; it says nothing then.
	Unreadable bool
}
