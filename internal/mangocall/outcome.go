package mangocall

// Outcome is what is known about a call that has no answer.
type Outcome string

const (
	// NotRun is proved: the request did not run.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
	// Rejected means that the request is invalid or must not be tried again.
	Rejected Outcome = "Rejected"
)
