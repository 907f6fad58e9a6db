package mangoplacement

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangostore"
)

const (
	leasePrefix = "Mangopath/Placement/"
	fencePrefix = "Mangopath/PlacementNumber/"
)

// placementLease acquires and renews the placement lease of one data centre for one daemon.
type placementLease struct {
	store    mangostore.Store
	leaseKey string
	fenceKey string
	owner    string
	// leaseLifetime is how long the lease lasts without a renewal, and orderTimeout bounds one order.
	leaseLifetime time.Duration
	orderTimeout  time.Duration
	// leaseID is 0 while the lease is not held; fence is the fencing number of the last acquisition.
	leaseID uint64
	fence   uint64
	// highestReportedFence is the highest fencing number that hosts have reported.
	highestReportedFence uint64
	// expiresAt is the earliest time at which the lease can end: its lifetime after the start of the last successful grant
	// or renewal.
	expiresAt time.Time
	// unfencedFrom is the time from which hosts that ignore fencing numbers may get orders.
	unfencedFrom time.Time
}

func newPlacementLease(
	store mangostore.Store, dataCentre, owner string, leaseLifetime, orderTimeout time.Duration,
) *placementLease {
	return &placementLease{
		store: store, leaseKey: leasePrefix + dataCentre, fenceKey: fencePrefix + dataCentre, owner: owner,
		leaseLifetime: leaseLifetime, orderTimeout: orderTimeout,
	}
}

// stopMargin is how long before the end of the lease the last order has to end. The clocks of the holder and the
// store may run at different rates, and an order must not still be in transit when the lease ends.
func (l *placementLease) stopMargin() time.Duration { return l.leaseLifetime / 4 }

// mayOrder reports whether an order sent now, which may take orderTimeout, would end before the stop margin. Hosts that
// ignore fencing numbers (fenced is false) get none before unfencedFrom.
func (l *placementLease) mayOrder(now time.Time, fenced bool) bool {
	if l.leaseID == 0 || !now.Add(l.orderTimeout).Before(l.expiresAt.Add(-l.stopMargin())) {
		return false
	}
	return fenced || !now.Before(l.unfencedFrom)
}

// renewOrAcquire renews the lease if it is held, and otherwise tries to acquire it.
func (l *placementLease) renewOrAcquire(ctx context.Context) error {
	if l.leaseID != 0 {
		return l.renew(ctx)
	}
	item, err := l.store.Get(ctx, l.leaseKey)
	if err != nil {
		return &Error{Op: "Get", Kind: KindStore, Err: err}
	}
	if item.Version != 0 {
		return &Error{Op: "Acquire", Kind: KindNotHolder, Err: errors.New("the lease is held by " + string(item.Value))}
	}
	return l.acquire(ctx)
}

// renew extends the lease. It gives the lease up if it has ended, but not if only the call failed.
func (l *placementLease) renew(ctx context.Context) error {
	start := time.Now()
	if !start.Before(l.expiresAt) {
		// This process was paused beyond the end of the lease. Another daemon may have held it since, even if a renewal
		// were to succeed.
		l.leaseID = 0
		return &Error{Op: "Renew", Kind: KindNotHolder}
	}
	err := l.store.Renew(ctx, l.leaseID)
	if err == nil {
		l.expiresAt = start.Add(l.leaseLifetime)
		return nil
	}
	var e *mangostore.Error
	if errors.As(err, &e) && e.Kind == mangostore.KindLeaseLost {
		l.leaseID = 0
		return &Error{Op: "Renew", Kind: KindNotHolder, Err: err}
	}
	return &Error{Op: "Renew", Kind: KindStore, Err: err}
}

// acquire takes the free lease and a fencing number above those of all earlier holders.
func (l *placementLease) acquire(ctx context.Context) error {
	start := time.Now()
	lease, err := l.store.Grant(ctx, l.leaseLifetime)
	if err != nil {
		return &Error{Op: "Grant", Kind: KindStore, Err: err}
	}
	fence, err := l.writeKeys(ctx, lease)
	if err != nil {
		// If a reply was lost, the lease key may have been written. Revoking the granted lease deletes it; if that fails
		// too, the lease expires by itself.
		_ = l.store.Revoke(ctx, lease)
		return err
	}
	l.leaseID, l.fence, l.expiresAt = lease, fence, start.Add(l.leaseLifetime)
	// The key was free, so the lease of the previous holder has ended and that holder has stopped sending. Hosts that
	// ignore fencing numbers would still accept a delayed order of it, so they get no orders for another lease lifetime
	// and order timeout.
	l.unfencedFrom = time.Now().Add(l.leaseLifetime + l.orderTimeout)
	return nil
}

// writeKeys writes the lease key under the granted lease, then increments the fencing number and returns it.
func (l *placementLease) writeKeys(ctx context.Context, lease uint64) (uint64, error) {
	_, err := l.store.Put(ctx, mangostore.Item{Key: l.leaseKey, Value: []byte(l.owner), LeaseID: lease})
	if err != nil {
		return 0, &Error{Op: "Put", Kind: KindNotHolder, Err: err}
	}
	item, err := l.store.Get(ctx, l.fenceKey)
	if err != nil {
		return 0, &Error{Op: "Get", Kind: KindStore, Err: err}
	}
	next := uint64(1)
	if len(item.Value) == 8 {
		next = binary.BigEndian.Uint64(item.Value) + 1
	}
	// A store that was restored from a backup may hold a lower number than hosts have seen.
	next = max(next, l.highestReportedFence+1)
	item.Key, item.Value = l.fenceKey, binary.BigEndian.AppendUint64(nil, next)
	if _, err := l.store.Put(ctx, item); err != nil {
		return 0, &Error{Op: "Put", Kind: KindStore, Err: err}
	}
	return next, nil
}

// release revokes the lease, so that another daemon need not wait until it expires.
func (l *placementLease) release(ctx context.Context) {
	if l.leaseID != 0 {
		_ = l.store.Revoke(ctx, l.leaseID)
		l.leaseID = 0
	}
}
