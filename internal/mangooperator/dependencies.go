package mangooperator

import (
	"context"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// EntryReader reads the configuration book in force.
type EntryReader interface {
	// Entries returns the entries of a kind (Profile, Alias, Customer, HostMark), or of all kinds for an empty one,
	// including removed entries.
	Entries(kind string) *mangomessage.EntryList
}

// Proposer changes the configuration book.
type Proposer interface {
	// Propose has either all changes accepted or none, and returns the revision that holds them. A change whose id was
	// accepted before counts as accepted. With dryRun it only checks them. The error is an *Error; a conflict carries
	// the present entry.
	Propose(ctx context.Context, changes []*mangomessage.Change, dryRun bool) (uint64, error)
}

// HistoryReader reads the change log.
type HistoryReader interface {
	// History returns the latest changes of a name, newest first, or of all names for an empty one.
	History(ctx context.Context, name string) ([]*mangomessage.Entry, error)
}

// StatusReporter reports the state of this entry host.
type StatusReporter interface {
	Status() *mangomessage.OperatorStatus
}

// RouteExplainer explains the route that a request would take.
type RouteExplainer interface {
	Explain(ctx context.Context, request *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error)
}

// HostLister lists the hosts of the host directory.
type HostLister interface {
	Hosts() []*mangomessage.HostReport
}

// Dependencies are the parts of the daemon that the handlers call.
type Dependencies struct {
	EntryReader    EntryReader
	Proposer       Proposer
	HistoryReader  HistoryReader
	StatusReporter StatusReporter
	RouteExplainer RouteExplainer
	HostLister     HostLister
}
