package mangochain

import (
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Replica is one upstream host that holds a range of layers, as this daemon knows it.
type Replica struct {
	Host       string
	Address    string
	DataCentre string
	Kind       string
	Model      string
	Version    string
	Adapters   []string
	// FromLayer and ToLayer bound the range [FromLayer, ToLayer).
	FromLayer uint32
	ToLayer   uint32
	// MaxBatch is the number of calls that it runs at once.
	MaxBatch int
	// Peers is the number of calls that other daemons have in flight on it, by their last reports.
	PeerInFlight int
	// Reported is its own last report of running and waiting calls, ReportAge old.
	ReportedCalls  int
	ReportAge time.Duration
	// StepTime is the measured or reported time of a decode step.
	StepTime time.Duration
	// Share limits use during slow start, from 0 to 1.
	SlowStartFactor float64
	// Leaving replicas get no new call or attempt.
	Leaving bool
	// Ejected replicas failed lately and are used only when no other covers the range.
	Ejected bool
}

// View is an immutable picture of the replicas of one fleet.
type View struct {
	Replicas []Replica
	// Local is the data centre of this daemon.
	LocalDataCentre string
	// Daemons is the number of live daemons, at least 1.
	DaemonCount int
	// Links has one-way delays between data centres; a missing pair costs DefaultLink.
	LinkDelays map[Link]time.Duration
}

// Link is an ordered pair of data centres.
type Link struct {
	From string
	To   string
}

// Request is what a choice depends on besides the view.
type Request struct {
	// Call and Customer are for the decision log only; Fingerprint identifies suspects of crashing upstreams.
	CallID        string
	Customer    string
	Fingerprint string
	Profile     *mangomessage.Profile
	// PrefixDigest identifies the prompt prefix; empty means no preference.
	PrefixDigest string
	// FromLayer and ToLayer ask for one replica of exactly this range when ToLayer is above 0, to move a stage.
	FromLayer uint32
	ToLayer   uint32
	// Tokens is the expected number of steps.
	RemainingTokens int
	// Deadline is the time left for the whole answer.
	TimeLeft time.Duration
	// Exclude names hosts that failed for this call.
	Exclude map[string]bool
	// Seed makes the random choice among near-equal chains reproducible.
	Seed uint64
	// InFlight returns the number of calls that this daemon has in flight on a host now.
	InFlight func(host string) int
}

// Stage is a replica in a chain.
type Stage struct {
	Replica Replica
	// Cost is the estimated time of a step on it including the link.
	Cost time.Duration
}

// Chain is a sequence of replicas whose ranges join exactly from 0 to the number of layers.
type Chain struct {
	Stages []Stage
	// Cost is the estimated time of a step through the chain.
	Cost time.Duration
	// Reason names what decided, for the decision log.
	Reason string
}
