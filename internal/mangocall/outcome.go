package mangocall

// Outcome says whether a call that has no answer may have run.
type Outcome string

const (
	// NotRun means that the request certainly did not run.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
	// Rejected means that the request did not succeed and must not be sent again, for example because it is invalid.
	Rejected Outcome = "Rejected"
)
