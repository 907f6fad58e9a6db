package mangostore

import (
	"context"
	"time"
)

// budgeted decorates a Backend with the budget and counters of one purpose.
type budgeted struct {
	budget  *Budget
	purpose string
	// patience is nil for purposes without a queue.
	patience *patience
	// spare is nil unless calls take only what is spare.
	spare *spare
}

var _ ConditionalStore = (*budgeted)(nil)

func (s *budgeted) Get(ctx context.Context, key string) (item Item, err error) {
	err = s.read(ctx, "Get", func() error {
		item, err = s.budget.inner.Get(ctx, key)
		return err
	})
	return item, err
}

func (s *budgeted) GetAfter(ctx context.Context, key string, after uint64) (item Item, found bool, err error) {
	err = s.read(ctx, "GetAfter", func() error {
		item, found, err = s.budget.inner.GetAfter(ctx, key, after)
		return err
	})
	return item, found, err
}

func (s *budgeted) List(ctx context.Context, prefix string) (items []Item, err error) {
	err = s.read(ctx, "List", func() error {
		items, err = s.budget.inner.List(ctx, prefix)
		return err
	})
	return items, err
}

func (s *budgeted) Watch(ctx context.Context, key string, after uint64) (item Item, err error) {
	err = s.read(ctx, "Watch", func() error {
		item, err = s.budget.inner.Watch(ctx, key, after)
		return err
	})
	return item, err
}

func (s *budgeted) Put(ctx context.Context, item Item) (version uint64, err error) {
	err = s.write(ctx, "Put", func() error {
		version, err = s.budget.inner.Put(ctx, item)
		return err
	})
	return version, err
}

func (s *budgeted) Delete(ctx context.Context, key string, version uint64) error {
	return s.write(ctx, "Delete", func() error { return s.budget.inner.Delete(ctx, key, version) })
}

func (s *budgeted) Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error) {
	err = s.write(ctx, "Grant", func() error {
		lease, err = s.budget.inner.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

func (s *budgeted) Renew(ctx context.Context, lease uint64) error {
	return s.write(ctx, "Renew", func() error { return s.budget.inner.Renew(ctx, lease) })
}

func (s *budgeted) Revoke(ctx context.Context, lease uint64) error {
	return s.write(ctx, "Revoke", func() error { return s.budget.inner.Revoke(ctx, lease) })
}
