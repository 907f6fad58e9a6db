package mangoload

import "time"

// Outcome is how a call ended for its caller. Answered, NotRun, Unknown and Rejected are reported by the API, the others
// are observed by the generator.
type Outcome string

const (
	// Answered means that a whole answer arrived, right or wrong.
	Answered Outcome = "Answer"
	// NotRun is the API's outcome for calls that certainly did not run.
	NotRun Outcome = "NotRun"
	// Unknown is the API's outcome for calls that may have run.
	Unknown Outcome = "Unknown"
	// Rejected is the API's outcome for calls that must not be sent again.
	Rejected Outcome = "Rejected"
	// Truncated means that the answer broke off before its end.
	Truncated Outcome = "Truncated"
	// NoReply means that the connection broke before a reply.
	NoReply Outcome = "NoReply"
	// Timeout means that the caller gave up after the deadline and the grace period.
	Timeout Outcome = "Timeout"
	// Refused means that no target accepted a connection.
	Refused Outcome = "Refused"
	// Unsent means that the call was not sent because MaxInFlight calls were running.
	Unsent Outcome = "Unsent"
	// Malformed means that the reply violates the protocol.
	Malformed Outcome = "Malformed"
)

// callReport is the measurement of one call with all its retries. Durations count from the intended time.
type callReport struct {
	arrival arrival
	outcome Outcome
	// isWrong is true if the call was answered, but not as expected.
	isWrong bool
	latency time.Duration
	// tokenTimes are the times at which the tokens of a stream arrived.
	tokenTimes []time.Duration
	retries    int
	// detail describes a failure or a wrong answer.
	detail string
}

// isOnTime reports whether the call was answered in full, correctly and before its deadline.
func (r callReport) isOnTime() bool {
	return r.outcome == Answered && !r.isWrong && r.latency <= milliseconds(r.arrival.kind.DeadlineMs)
}
