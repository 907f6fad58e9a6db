package mangostore

import "context"

// ConditionalStore is a Store that can also read a key only when it has changed, which saves the transfer of its value.
type ConditionalStore interface {
	Store
	// GetAfter returns the item of a key and true if its version is above after, and false otherwise. A store that was
	// restored to an older state may report false although the value differs.
	GetAfter(ctx context.Context, key string, after uint64) (Item, bool, error)
}
