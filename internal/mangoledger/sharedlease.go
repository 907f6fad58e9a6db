package mangoledger

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangostore"
)

// sharedLease is the lease to which all records written within one period are attached, so that they expire without
// further writes.
type sharedLease struct {
	store    mangostore.Store
	lifetime time.Duration
	period   time.Duration
	// lock protects the fields below. It is a channel, so that waiting for it ends with the context.
	lock      chan struct{}
	leaseID   uint64
	periodEnd time.Time
}

func newSharedLease(store mangostore.Store, retention, period time.Duration) *sharedLease {
	return &sharedLease{store: store, lifetime: retention + period, period: period, lock: make(chan struct{}, 1)}
}

// get returns the lease of the current period and grants a new one when the period has ended. A period starts before its
// lease is granted, so every record attached within it is kept for the retention time at least.
func (s *sharedLease) get(ctx context.Context) (uint64, error) {
	select {
	case s.lock <- struct{}{}:
		defer func() { <-s.lock }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	now := time.Now()
	if s.leaseID != 0 && now.Before(s.periodEnd) {
		return s.leaseID, nil
	}
	lease, err := s.store.Grant(ctx, s.lifetime)
	if err != nil {
		return 0, err
	}
	s.leaseID, s.periodEnd = lease, now.Add(s.period)
	return lease, nil
}

// forget discards a lease that the store reported as ended, so that get grants a new one.
func (s *sharedLease) forget(lease uint64) {
	s.lock <- struct{}{}
	defer func() { <-s.lock }()
	if s.leaseID == lease {
		s.leaseID = 0
	}
}
