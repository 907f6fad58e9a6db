package mangoplacement

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangostore"
)

const (
	leasePrefix  = "Mangopath/Placement/"
	numberPrefix = "Mangopath/PlacementNumber/"
)

// tenure is one daemon's hold of the placement lease of a data centre.
type tenure struct {
	store  mangostore.Store
	key    string
	number string
	owner  string
	// lifetime of the lease; order is the longest time of an order.
	lifetime time.Duration
	order    time.Duration
	lease    uint64
	fence    uint64
	// floor is the highest number that hosts have reported.
	floor uint64
	// until is the end of the lease counted from before the last request that was answered; quiet is the time from
	// which hosts that ignore the number may get orders.
	until time.Time
	quiet time.Time
}

func newTenure(store mangostore.Store, dataCentre, owner string, lifetime, order time.Duration) *tenure {
	return &tenure{
		store: store, key: leasePrefix + dataCentre, number: numberPrefix + dataCentre, owner: owner,
		lifetime: lifetime, order: order,
	}
}

// margin is the part of the lease at whose start the holder stops: clocks of holder and store may differ in rate, and
// an order that is on its way when the lease ends must have been sent well before.
func (t *tenure) margin() time.Duration { return t.lifetime / 4 }

// allows reports whether an order that takes its longest time would end before the holder has to stop.
func (t *tenure) allows(now time.Time, fenced bool) bool {
	if t.lease == 0 || !now.Add(t.order).Before(t.until.Add(-t.margin())) {
		return false
	}
	return fenced || !now.Before(t.quiet)
}

// keep renews the lease or tries to get it.
func (t *tenure) keep(ctx context.Context) error {
	if t.lease != 0 {
		return t.renew(ctx)
	}
	item, err := t.store.Get(ctx, t.key)
	if err != nil {
		return &Error{Op: "Get", Kind: KindStore, Err: err}
	}
	if item.Version != 0 {
		return &Error{Op: "Acquire", Kind: KindNotHolder, Err: errors.New("held by " + string(item.Value))}
	}
	return t.acquire(ctx)
}

func (t *tenure) renew(ctx context.Context) error {
	began := time.Now()
	if !began.Before(t.until) {
		// Paused past the lease: another may hold it by now, and a renewal that succeeded would not prove the contrary.
		t.lease = 0
		return &Error{Op: "Renew", Kind: KindNotHolder}
	}
	err := t.store.Renew(ctx, t.lease)
	if err == nil {
		t.until = began.Add(t.lifetime)
		return nil
	}
	var e *mangostore.Error
	if errors.As(err, &e) && e.Kind == mangostore.KindLeaseLost {
		t.lease = 0
		return &Error{Op: "Renew", Kind: KindNotHolder, Err: err}
	}
	return &Error{Op: "Renew", Kind: KindStore, Err: err}
}

// acquire takes a free lease and a number above those of all earlier holders.
func (t *tenure) acquire(ctx context.Context) error {
	began := time.Now()
	lease, err := t.store.Grant(ctx, t.lifetime)
	if err != nil {
		return &Error{Op: "Grant", Kind: KindStore, Err: err}
	}
	fence, err := t.take(ctx, lease)
	if err != nil {
		// A lost reply may have left the key attached; the revocation removes it, or else the lease ends by itself.
		_ = t.store.Revoke(ctx, lease)
		return err
	}
	t.lease, t.fence, t.until = lease, fence, began.Add(t.lifetime)
	// The key was free, so the store had ended the lease of the holder before. That holder stops by its own clock before
	// this; the old lease and an order's longest time are waited out all the same, since hosts that ignore the number
	// would take an order that was delayed.
	t.quiet = time.Now().Add(t.lifetime + t.order)
	return nil
}

func (t *tenure) take(ctx context.Context, lease uint64) (uint64, error) {
	_, err := t.store.Put(ctx, mangostore.Item{Key: t.key, Value: []byte(t.owner), LeaseID: lease})
	if err != nil {
		return 0, &Error{Op: "Put", Kind: KindNotHolder, Err: err}
	}
	item, err := t.store.Get(ctx, t.number)
	if err != nil {
		return 0, &Error{Op: "Get", Kind: KindStore, Err: err}
	}
	next := uint64(1)
	if len(item.Value) == 8 {
		next = binary.BigEndian.Uint64(item.Value) + 1
	}
	// After a restore of the store its number may be below those that hosts have seen.
	next = max(next, t.floor+1)
	item.Key, item.Value = t.number, binary.BigEndian.AppendUint64(nil, next)
	if _, err := t.store.Put(ctx, item); err != nil {
		return 0, &Error{Op: "Put", Kind: KindStore, Err: err}
	}
	return next, nil
}

// release ends the lease on shutdown, so that another daemon need not wait for its end.
func (t *tenure) release(ctx context.Context) {
	if t.lease != 0 {
		_ = t.store.Revoke(ctx, t.lease)
		t.lease = 0
	}
}
