package mangooperator

import (
	"context"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// EntryReader reads the book in force.
type EntryReader interface {
	// Entries returns the entries of a kind (Profile, Alias, Customer, HostMark), or all for an empty kind, with
	// removed ones.
	Entries(kind string) *mangomessage.EntryList
}

// Proposer changes the book.
type Proposer interface {
	// Propose has all changes accepted or none, and returns the revision that holds them. A change whose id was
	// accepted before counts as accepted. With dryRun it only checks. The error is an *Error; a conflict carries
	// the present entry.
	Propose(ctx context.Context, changes []*mangomessage.Change, dryRun bool) (uint64, error)
}

// HistoryReader reads the change log.
type HistoryReader interface {
	// History returns the latest changes of a name, newest first, or of all names for an empty one.
	History(ctx context.Context, name string) ([]*mangomessage.Entry, error)
}

// StatusReporter tells the state of this entry host.
type StatusReporter interface {
	Status() *mangomessage.OperatorStatus
}

// RouteExplainer tells where a request would go.
type RouteExplainer interface {
	Explain(ctx context.Context, request *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error)
}

// HostLister reads the host directory.
type HostLister interface {
	Hosts() []*mangomessage.HostReport
}

// Dependencies are what the handlers read and change.
type Dependencies struct {
	EntryReader      EntryReader
	Proposer  Proposer
	HistoryReader HistoryReader
	StatusReporter  StatusReporter
	RouteExplainer RouteExplainer
	HostLister HostLister
}
