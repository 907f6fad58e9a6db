package mangostate

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Feed reads the store. Errors are of type *Error; after KindCompacted the caller must take a new snapshot.
type Feed interface {
	// Snapshot returns the whole content of the store as changes, and its revision.
	Snapshot(ctx context.Context) (changes []Change, revision uint64, err error)
	// Watch returns the changes after a revision and the revision to continue from. It blocks for up to wait until there is
	// a change.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []Change, revision uint64, err error)
}

// Change is one change of the store: a configuration, a replica's entry, a key of the daemons, or an unreadable item. Apart
// from Key, only the fields of one of these are set.
type Change struct {
	// Table is a new configuration.
	Table *mangoroute.Table
	// Replica is the new or changed entry of a replica.
	Replica *mangoreplica.Replica
	// RemovedReplica is the id of a replica whose entry was deleted or cannot be read.
	RemovedReplica string
	// Key is the key of the item. Value is that of a key that daemons write, such as a lease; an empty value means that it was
	// deleted.
	Key   string
	Value string
	// Revision is the store's revision of the item of Key.
	Revision uint64
	// DecodeErr is the error of decoding the item of Key.
	DecodeErr error
}
