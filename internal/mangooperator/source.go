package mangooperator

import (
	"context"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Book reads the book in force.
type Book interface {
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

// Historian reads the change log.
type Historian interface {
	// History returns the latest changes of a name, newest first, or of all names for an empty one.
	History(ctx context.Context, name string) ([]*mangomessage.Entry, error)
}

// Reporter tells the state of this entry host.
type Reporter interface {
	Status() *mangomessage.OperatorStatus
}

// Explainer tells where a request would go.
type Explainer interface {
	Explain(ctx context.Context, request *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error)
}

// Directory reads the host directory.
type Directory interface {
	Hosts() []*mangomessage.HostReport
}

// Sources are what the handlers read and change.
type Sources struct {
	Book      Book
	Proposer  Proposer
	Historian Historian
	Reporter  Reporter
	Explainer Explainer
	Directory Directory
}
