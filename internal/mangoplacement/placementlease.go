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

// placementLease is one daemon's hold of the placement lease of a data centre.
type placementLease struct {
	store    mangostore.Store
	leaseKey string
	fenceKey string
	owner    string
	// leaseLifetime of the lease; order is the longest time of an order.
	leaseLifetime time.Duration
	orderTimeout  time.Duration
	leaseID       uint64
	fence         uint64
	// highestReportedFence is the highest number that hosts have reported.
	highestReportedFence uint64
	// expiresAt is the end of the lease counted from before the last request that was answered; quiet is the time from
	// which hosts that ignore the number may get orders.
	expiresAt    time.Time
	unfencedFrom time.Time
}

func newPlacementLease(store mangostore.Store, dataCentre, owner string, lifetime, order time.Duration) *placementLease {
	return &placementLease{
		store: store, leaseKey: leasePrefix + dataCentre, fenceKey: fencePrefix + dataCentre, owner: owner,
		leaseLifetime: lifetime, orderTimeout: order,
	}
}

// stopMargin is the part of the lease at whose start the holder stops: clocks of holder and store may differ in rate, and
// an order that is on its way when the lease ends must have been sent well before.
func (t *placementLease) stopMargin() time.Duration { return t.leaseLifetime / 4 }

// mayOrder reports whether an order that takes its longest time would end before the holder has to stop.
func (t *placementLease) mayOrder(now time.Time, fenced bool) bool {
	if t.leaseID == 0 || !now.Add(t.orderTimeout).Before(t.expiresAt.Add(-t.stopMargin())) {
		return false
	}
	return fenced || !now.Before(t.unfencedFrom)
}

// renewOrAcquire renews the lease or tries to get it.
func (t *placementLease) renewOrAcquire(ctx context.Context) error {
	if t.leaseID != 0 {
		return t.renew(ctx)
	}
	item, err := t.store.Get(ctx, t.leaseKey)
	if err != nil {
		return &Error{Op: "Get", Kind: KindStore, Err: err}
	}
	if item.Version != 0 {
		return &Error{Op: "Acquire", Kind: KindNotHolder, Err: errors.New("held by " + string(item.Value))}
	}
	return t.acquire(ctx)
}

func (t *placementLease) renew(ctx context.Context) error {
	began := time.Now()
	if !began.Before(t.expiresAt) {
		// Paused past the lease: another may hold it by now, and a renewal that succeeded would not prove the contrary.
		t.leaseID = 0
		return &Error{Op: "Renew", Kind: KindNotHolder}
	}
	err := t.store.Renew(ctx, t.leaseID)
	if err == nil {
		t.expiresAt = began.Add(t.leaseLifetime)
		return nil
	}
	var e *mangostore.Error
	if errors.As(err, &e) && e.Kind == mangostore.KindLeaseLost {
		t.leaseID = 0
		return &Error{Op: "Renew", Kind: KindNotHolder, Err: err}
	}
	return &Error{Op: "Renew", Kind: KindStore, Err: err}
}

// acquire takes a free lease and a number above those of all earlier holders.
func (t *placementLease) acquire(ctx context.Context) error {
	began := time.Now()
	lease, err := t.store.Grant(ctx, t.leaseLifetime)
	if err != nil {
		return &Error{Op: "Grant", Kind: KindStore, Err: err}
	}
	fence, err := t.writeKeys(ctx, lease)
	if err != nil {
		// A lost reply may have left the key attached; the revocation removes it, or else the lease ends by itself.
		_ = t.store.Revoke(ctx, lease)
		return err
	}
	t.leaseID, t.fence, t.expiresAt = lease, fence, began.Add(t.leaseLifetime)
	// The key was free, so the store had ended the lease of the holder before. That holder stops by its own clock before
	// this; the old lease and an order's longest time are waited out all the same, since hosts that ignore the number
	// would take an order that was delayed.
	t.unfencedFrom = time.Now().Add(t.leaseLifetime + t.orderTimeout)
	return nil
}

func (t *placementLease) writeKeys(ctx context.Context, lease uint64) (uint64, error) {
	_, err := t.store.Put(ctx, mangostore.Item{Key: t.leaseKey, Value: []byte(t.owner), LeaseID: lease})
	if err != nil {
		return 0, &Error{Op: "Put", Kind: KindNotHolder, Err: err}
	}
	item, err := t.store.Get(ctx, t.fenceKey)
	if err != nil {
		return 0, &Error{Op: "Get", Kind: KindStore, Err: err}
	}
	next := uint64(1)
	if len(item.Value) == 8 {
		next = binary.BigEndian.Uint64(item.Value) + 1
	}
	// After a restore of the store its number may be below those that hosts have seen.
	next = max(next, t.highestReportedFence+1)
	item.Key, item.Value = t.fenceKey, binary.BigEndian.AppendUint64(nil, next)
	if _, err := t.store.Put(ctx, item); err != nil {
		return 0, &Error{Op: "Put", Kind: KindStore, Err: err}
	}
	return next, nil
}

// release ends the lease on shutdown, so that another daemon need not wait for its end.
func (t *placementLease) release(ctx context.Context) {
	if t.leaseID != 0 {
		_ = t.store.Revoke(ctx, t.leaseID)
		t.leaseID = 0
	}
}
