package mangochain

import (
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Replica is an upstream host that has a range of model layers loaded, with its state and load as this daemon knows them.
type Replica struct {
	Host       string
	Address    string
	DataCentre string
	Kind       string
	Model      string
	Version    string
	Adapters   []string
	// FromLayer and ToLayer bound the half-open range [FromLayer, ToLayer) of loaded layers.
	FromLayer uint32
	ToLayer   uint32
	// MaxBatch is the number of calls that the replica runs at once.
	MaxBatch int
	// PeerInFlight is the number of calls that other daemons have in flight on the replica, by their last reports.
	PeerInFlight int
	// ReportedCalls is the number of running and waiting calls in the replica's own last report; ReportAge is the age of
	// that report.
	ReportedCalls int
	ReportAge     time.Duration
	// StepTime is the measured or reported time of a decode step.
	StepTime time.Duration
	// SlowStartFactor is the part of its capacity that the replica may use, from 0 to 1; below 1 during slow start.
	SlowStartFactor float64
	// Leaving is set while the replica shuts down or is drained; it gets no new call or attempt.
	Leaving bool
	// Ejected is set while the replica is out of rotation after failures; it is used only when no other covers its range.
	Ejected bool
}

// View is an immutable snapshot of the replicas that Choose selects from and of what it needs to estimate their cost.
type View struct {
	Replicas []Replica
	// LocalDataCentre is the data centre of this daemon.
	LocalDataCentre string
	// DaemonCount is the number of live daemons, this one included, at least 1.
	DaemonCount int
	// LinkDelays has the one-way delays between data centres; DefaultLinkDelay applies to a missing pair.
	LinkDelays map[Link]time.Duration
}

// Link is the network path from one data centre to another, in this direction only.
type Link struct {
	From string
	To   string
}

// Request describes the call for which Choose selects a chain.
type Request struct {
	// CallID and Customer are used only to log the decision. Fingerprint identifies requests that may crash upstreams;
	// Choose does not use it.
	CallID      string
	Customer    string
	Fingerprint string
	Profile     *mangomessage.Profile
	// PrefixDigest identifies the prompt prefix, so that calls with the same prefix prefer the same replicas, which may
	// have it cached. Empty means no preference.
	PrefixDigest string
	// FromLayer and ToLayer restrict the chain to one replica of exactly this range when ToLayer is above 0. This is used
	// to move a stage of a running call to another replica.
	FromLayer uint32
	ToLayer   uint32
	// RemainingTokens is the highest number of tokens that are still to be generated, one for each decode step. Choose does
	// not use it.
	RemainingTokens int
	// TimeLeft is the time left until the deadline of the whole answer. Choose does not use it.
	TimeLeft time.Duration
	// Exclude has the hosts that must not be used, such as those that failed for this call.
	Exclude map[string]bool
	// Seed seeds the random choice among chains of nearly equal cost, which makes the choice reproducible.
	Seed uint64
	// InFlight returns the number of calls that this daemon has in flight on a host now; nil counts as none.
	InFlight func(host string) int
}

// Stage is one replica of a chain.
type Stage struct {
	Replica Replica
	// Cost is the estimated time of a decode step on the replica, with the network delay there and back.
	Cost time.Duration
}

// Chain is a sequence of replicas whose layer ranges follow each other without a gap or overlap. It covers all layers of
// the profile, or the range of the request.
type Chain struct {
	Stages []Stage
	// Cost is the estimated time of a decode step through the whole chain.
	Cost time.Duration
	// Reason names the rule that decided the choice, for logs: Cheapest, NearEqual or Prefix.
	Reason string
}
