package mangoload

import "time"

// Outcome is how a call ended for its caller.
type Outcome string

const (
	// Answered calls got a whole answer, right or not.
	Answered Outcome = "Answer"
	// NotRun is the API's outcome for calls that surely did not run.
	NotRun Outcome = "NotRun"
	// Unknown is the API's outcome for calls that may have run.
	Unknown Outcome = "Unknown"
	// Rejected is the API's outcome for calls that must not be sent again.
	Rejected Outcome = "Rejected"
	// Truncated answers broke off without an end mark.
	Truncated Outcome = "Truncated"
	// NoReply means that the connection broke before a reply.
	NoReply Outcome = "NoReply"
	// Timeout means that the caller gave up.
	Timeout Outcome = "Timeout"
	// Refused means that no target accepted a connection.
	Refused Outcome = "Refused"
	// Unsent calls were above the bound on calls at a time.
	Unsent Outcome = "Unsent"
	// Malformed replies break the protocol.
	Malformed Outcome = "Malformed"
)

// callReport is what one call gave. Times count from the intended time.
type callReport struct {
	arrival arrival
	outcome Outcome
	// wrong says that an answer differs from all expected ones.
	isWrong bool
	latency time.Duration
	// tokens are the arrival times of the tokens of a stream.
	tokenTimes []time.Duration
	retries    int
	detail     string
}

// isOnTime says whether the call was answered whole, right and on time.
func (r callReport) isOnTime() bool {
	return r.outcome == Answered && !r.isWrong && r.latency <= milliseconds(r.arrival.kind.DeadlineMs)
}
