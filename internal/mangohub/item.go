package mangohub

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Item is an item of the store, or the deletion of one.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// Err says why the rest of the item could not be read; nil if it could.
	Err error
	// pack is the compressed form of a large value; nil for others.
	pack *packedValue
}

// Source reads the store. Errors are of type *mangostate.Error; after KindCompacted or KindRestored the caller must take a new snapshot.
type Source interface {
	// Snapshot returns all items and a revision from which a watch delivers all later changes. Unless fresh is set, they may be
	// seconds old, which costs the store less.
	Snapshot(ctx context.Context, fresh bool) (items []Item, revision uint64, err error)
	// Watch returns the changes after a revision, in order, and the revision to continue from. It blocks for up to wait until
	// there is a change.
	Watch(ctx context.Context, after uint64, wait time.Duration) (items []Item, revision uint64, err error)
}

// encodeItems returns the message form of items.
func encodeItems(items []Item) []*mangomessage.StoredItem {
	list := make([]*mangomessage.StoredItem, len(items))
	for i, it := range items {
		list[i] = &mangomessage.StoredItem{Key: it.Key, Revision: it.Revision, Deleted: it.Deleted, Packed: it.packed()}
		if list[i].GetPacked() == nil {
			list[i].Value = it.Value
		}
		if it.Err != nil {
			list[i].Problem = it.Err.Error()
		}
	}
	return list
}

// decodeItems is the inverse of encodeItems.
func decodeItems(list []*mangomessage.StoredItem) []Item {
	items := make([]Item, len(list))
	for i, m := range list {
		items[i] = Item{Key: m.GetKey(), Value: m.GetValue(), Revision: m.GetRevision(), Deleted: m.GetDeleted()}
		if packed := m.GetPacked(); packed != nil {
			items[i].Value, items[i].Err = inflate(packed)
			items[i].pack = &packedValue{data: packed}
		}
		if m.GetProblem() != "" {
			items[i].Err = &Error{Op: "Decode", Kind: KindItem, Err: errors.New(m.GetProblem())}
		}
	}
	return items
}
