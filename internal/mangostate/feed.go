package mangostate

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Feed reads the store. Errors are of type *Error; KindHistory asks for a new snapshot.
type Feed interface {
	// Snapshot returns all that the store has and its revision.
	Snapshot(ctx context.Context) (changes []Change, revision uint64, err error)
	// Watch returns the changes after a revision, waiting for the first one if need be, and the revision to go on from.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []Change, revision uint64, err error)
}

// Change is one change of the store; one field or pair of fields is set.
type Change struct {
	// Table is a configuration.
	Table *mangoroute.Table
	// Replica is the new entry of a replica.
	Replica *mangoreplica.Replica
	// RemovedReplica is the id of a replica whose entry is gone or names no replica to use.
	RemovedReplica string
	// Key and Value are a key of the daemons' own; an empty value means that it is gone.
	Key   string
	Value string
	// Revision is that of the item of Key.
	Revision uint64
	// DecodeErr says why an item could not be read; Key names it.
	DecodeErr error
}
