package mangoledger

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangostore"
)

// sharedLease grants one lease per bucket of time, so that records expire without further writes.
type sharedLease struct {
	store    mangostore.Store
	lifetime time.Duration
	period   time.Duration
	// lock holds one token; its holder may use the fields below.
	lock      chan struct{}
	leaseID   uint64
	periodEnd time.Time
}

func newSharedLease(store mangostore.Store, retention, bucket time.Duration) *sharedLease {
	return &sharedLease{store: store, lifetime: retention + bucket, period: bucket, lock: make(chan struct{}, 1)}
}

// get returns the lease of the present bucket. The bucket is timed from before the grant, so a record that is
// attached within it lasts at least the retention period.
func (b *sharedLease) get(ctx context.Context) (uint64, error) {
	select {
	case b.lock <- struct{}{}:
		defer func() { <-b.lock }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	now := time.Now()
	if b.leaseID != 0 && now.Before(b.periodEnd) {
		return b.leaseID, nil
	}
	lease, err := b.store.Grant(ctx, b.lifetime)
	if err != nil {
		return 0, err
	}
	b.leaseID, b.periodEnd = lease, now.Add(b.period)
	return lease, nil
}

// forget forgets a lease that the store says has ended.
func (b *sharedLease) forget(lease uint64) {
	b.lock <- struct{}{}
	defer func() { <-b.lock }()
	if b.leaseID == lease {
		b.leaseID = 0
	}
}
