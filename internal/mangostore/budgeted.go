package mangostore

import (
	"context"
	"time"
)

// budgeted decorates a Backend with the budget and counters of one purpose.
type budgeted struct {
	budget  *Budget
	purpose string
}

var _ Backend = (*budgeted)(nil)

func (s *budgeted) Get(ctx context.Context, key string) (Item, error) {
	if err := s.budget.read(ctx, s.purpose, "Get"); err != nil {
		return Item{}, err
	}
	return s.budget.inner.Get(ctx, key)
}

func (s *budgeted) GetAfter(ctx context.Context, key string, after uint64) (Item, bool, error) {
	if err := s.budget.read(ctx, s.purpose, "GetAfter"); err != nil {
		return Item{}, false, err
	}
	return s.budget.inner.GetAfter(ctx, key, after)
}

func (s *budgeted) List(ctx context.Context, prefix string) ([]Item, error) {
	if err := s.budget.read(ctx, s.purpose, "List"); err != nil {
		return nil, err
	}
	return s.budget.inner.List(ctx, prefix)
}

func (s *budgeted) Watch(ctx context.Context, key string, after uint64) (Item, error) {
	if err := s.budget.read(ctx, s.purpose, "Watch"); err != nil {
		return Item{}, err
	}
	return s.budget.inner.Watch(ctx, key, after)
}

func (s *budgeted) Put(ctx context.Context, item Item) (uint64, error) {
	if err := s.budget.write(ctx, s.purpose, "Put"); err != nil {
		return 0, err
	}
	return s.budget.inner.Put(ctx, item)
}

func (s *budgeted) Delete(ctx context.Context, key string, version uint64) error {
	if err := s.budget.write(ctx, s.purpose, "Delete"); err != nil {
		return err
	}
	return s.budget.inner.Delete(ctx, key, version)
}

func (s *budgeted) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := s.budget.write(ctx, s.purpose, "Grant"); err != nil {
		return 0, err
	}
	return s.budget.inner.Grant(ctx, ttl)
}

func (s *budgeted) Renew(ctx context.Context, lease uint64) error {
	if err := s.budget.write(ctx, s.purpose, "Renew"); err != nil {
		return err
	}
	return s.budget.inner.Renew(ctx, lease)
}

func (s *budgeted) Revoke(ctx context.Context, lease uint64) error {
	if err := s.budget.write(ctx, s.purpose, "Revoke"); err != nil {
		return err
	}
	return s.budget.inner.Revoke(ctx, lease)
}
