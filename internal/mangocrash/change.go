package mangocrash

// Event says how the verdict on a fingerprint changed.
type Event int

const (
	// Condemned means that requests with the fingerprint are refused from now on.
	Condemned Event = iota
	// Freed means that no crash counts against a blocked fingerprint any more.
	Freed
	// Tried means that one request with a blocked fingerprint was let through.
	Tried
	// Restored means that the fingerprint is refused by a record of other daemons, or of this one before its last start.
	Restored
)

// String returns the name of an event as it appears in logs.
func (e Event) String() string { return [...]string{"Condemned", "Freed", "Tried", "Restored"}[e] }

// Change is a change of the verdict on a fingerprint.
type Change struct {
	Fingerprint string
	Event       Event
	// Crashes is the number of crashes that count against the fingerprint.
	Crashes int
}
