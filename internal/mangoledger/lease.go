package mangoledger

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangostore"
)

// bucketLease grants one lease per bucket of time, so that records expire without further writes.
type bucketLease struct {
	store    mangostore.Store
	lifetime time.Duration
	bucket   time.Duration
	// turn holds one token; its holder may use the fields below.
	turn  chan struct{}
	lease uint64
	until time.Time
}

func newBucketLease(store mangostore.Store, retention, bucket time.Duration) *bucketLease {
	return &bucketLease{store: store, lifetime: retention + bucket, bucket: bucket, turn: make(chan struct{}, 1)}
}

// get returns the lease of the present bucket. The bucket is timed from before the grant, so a record that is
// attached within it lasts at least the retention period.
func (b *bucketLease) get(ctx context.Context) (uint64, error) {
	select {
	case b.turn <- struct{}{}:
		defer func() { <-b.turn }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	now := time.Now()
	if b.lease != 0 && now.Before(b.until) {
		return b.lease, nil
	}
	lease, err := b.store.Grant(ctx, b.lifetime)
	if err != nil {
		return 0, err
	}
	b.lease, b.until = lease, now.Add(b.bucket)
	return lease, nil
}

// drop forgets a lease that the store says has ended.
func (b *bucketLease) drop(lease uint64) {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	if b.lease == lease {
		b.lease = 0
	}
}
