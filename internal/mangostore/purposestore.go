package mangostore

import (
	"context"
	"time"
)

// purposeStore is a ConditionalStore that limits and counts the calls of one purpose.
type purposeStore struct {
	budget  *Budget
	purpose string
	// queues is nil unless the purpose has WithQueue.
	queues *purposeQueues
	// lowPriority is nil unless the purpose has WithLowPriority.
	lowPriority *lowPriority
}

var _ ConditionalStore = (*purposeStore)(nil)

func (s *purposeStore) Get(ctx context.Context, key string) (item Item, err error) {
	err = s.read(ctx, "Get", func() error {
		item, err = s.budget.inner.Get(ctx, key)
		return err
	})
	return item, err
}

func (s *purposeStore) GetAfter(ctx context.Context, key string, after uint64) (item Item, found bool, err error) {
	err = s.read(ctx, "GetAfter", func() error {
		item, found, err = s.budget.inner.GetAfter(ctx, key, after)
		return err
	})
	return item, found, err
}

func (s *purposeStore) List(ctx context.Context, prefix string) (items []Item, err error) {
	err = s.read(ctx, "List", func() error {
		items, err = s.budget.inner.List(ctx, prefix)
		return err
	})
	return items, err
}

func (s *purposeStore) Watch(ctx context.Context, key string, after uint64) (item Item, err error) {
	err = s.read(ctx, "Watch", func() error {
		item, err = s.budget.inner.Watch(ctx, key, after)
		return err
	})
	return item, err
}

func (s *purposeStore) Put(ctx context.Context, item Item) (version uint64, err error) {
	err = s.write(ctx, "Put", func() error {
		version, err = s.budget.inner.Put(ctx, item)
		return err
	})
	return version, err
}

func (s *purposeStore) Delete(ctx context.Context, key string, version uint64) error {
	return s.write(ctx, "Delete", func() error { return s.budget.inner.Delete(ctx, key, version) })
}

func (s *purposeStore) Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error) {
	err = s.write(ctx, "Grant", func() error {
		lease, err = s.budget.inner.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

func (s *purposeStore) Renew(ctx context.Context, lease uint64) error {
	return s.write(ctx, "Renew", func() error { return s.budget.inner.Renew(ctx, lease) })
}

func (s *purposeStore) Revoke(ctx context.Context, lease uint64) error {
	return s.write(ctx, "Revoke", func() error { return s.budget.inner.Revoke(ctx, lease) })
}
