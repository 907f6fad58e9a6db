package mangostore

import (
	"context"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Item is a key of the platform's key-value service with its value. Version 0 means that the key does not exist; LeaseID 0
// means that it is attached to no lease.
type Item struct {
	Key     string
	Value   []byte
	Version uint64
	LeaseID uint64
}

// Store is the platform's key-value service.
//
// All errors are of type *Error. KindUnknown means that a write may have taken effect although its reply was lost;
// KindUnavailable means that it certainly had no effect.
type Store interface {
	// Get returns the item of a key, with Version 0 when it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Put writes the item if the key is at item.Version and returns the new version; otherwise the error is KindConflict.
	Put(ctx context.Context, item Item) (uint64, error)
	// Delete removes the key if it is at version; otherwise the error is KindConflict.
	Delete(ctx context.Context, key string, version uint64) error
	// Grant creates a lease that ends after ttl unless it is renewed. Keys attached to it are deleted when it ends.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease by its lifetime; the error is KindLeaseLost if it has ended.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease; one that has ended already is no error.
	Revoke(ctx context.Context, lease uint64) error
	// Watch returns the item once its version is above after. If the service ends the wait before, the item has the version
	// after and no value.
	Watch(ctx context.Context, key string, after uint64) (Item, error)
}

// HostLister reads the platform's list of live and leaving hosts.
type HostLister interface {
	Hosts(ctx context.Context) (*mangomessage.HostList, error)
}
