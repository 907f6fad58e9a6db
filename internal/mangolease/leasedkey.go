package mangolease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"mangopath.org/mangopath/internal/mangostore"
)

// Store has the operations of the platform's store that a leased key needs.
type Store interface {
	Get(ctx context.Context, key string) (mangostore.Item, error)
	Put(ctx context.Context, item mangostore.Item) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Lookup returns the holder of a key from the local copy of the store.
type Lookup interface {
	// Holder returns an empty holder if the key is free; known is false until the store has been read once.
	Holder(key string) (holder string, known bool)
	// Changed is signalled after each change of the local copy.
	Changed() <-chan struct{}
}

// Observer is called when the key is won or lost, with the error that explains a loss. It must not block.
type Observer func(holds bool, fence uint64, err error)

const (
	// checkInterval bounds the time between two checks of the key; a signal of Lookup.Changed starts one earlier.
	checkInterval = 250 * time.Millisecond
	// maxAcquireDelay bounds the default random delay before a free key is taken, so that daemons do not all write at once.
	maxAcquireDelay = 120 * time.Millisecond
	// ineligibleInterval is the time between two checks of a key that this daemon may not take.
	ineligibleInterval = time.Second
	// maxExpiredHold bounds how long the key still counts as held after the lease expired while the store is
	// unreachable.
	maxExpiredHold = 30 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call, which doubles with each failure in a row.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// LeasedKey acquires a key of the store, keeps it by renewing its lease, and tells whether this daemon holds it. Its methods
// are safe for concurrent use.
type LeasedKey struct {
	store    Store
	key      string
	owner    string
	lookup   Lookup
	observer Observer
	lifetime time.Duration
	timeout  time.Duration
	// storeUnreachable reports that neither this daemon nor any daemon that it hears from reaches the store.
	storeUnreachable func() bool
	// eligible reports whether this daemon may take the key, and acquireDelay returns the time for which a free key is left to
	// others first.
	eligible     func() bool
	acquireDelay func() time.Duration
	// acquiring holds one element while the key is acquired.
	acquiring chan struct{}
	// renewShare is the share of the lifetime that is left when the lease is renewed.
	renewShare float64

	mu sync.Mutex
	// lease is the id of the lease, and fence the version of the key that it was acquired with; lease is 0 while the key is
	// not held.
	lease uint64
	fence uint64
	// expiresAt is the earliest time at which the lease can expire, in time since boot: its lifetime counted from the start
	// of the last successful call.
	expiresAt time.Duration
	// reportedHeld is what the observer was told last.
	reportedHeld bool
}

// New returns a leased key that is not held yet. The owner must be unique among all processes, including earlier ones of the
// same daemon.
func New(store Store, key, owner string, lookup Lookup, opts ...Option) *LeasedKey {
	k := &LeasedKey{
		store: store, key: key, owner: owner, lookup: lookup, observer: func(bool, uint64, error) {},
		storeUnreachable: func() bool { return false }, eligible: func() bool { return true },
		acquireDelay: func() time.Duration { return rand.N(maxAcquireDelay) }, renewShare: 0.75,
		acquiring: make(chan struct{}, 1), lifetime: 2 * time.Second, timeout: 500 * time.Millisecond,
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// sinceBoot returns the time since boot, which unlike the monotonic clock of Go includes time in which the machine was
// suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The wall clock can be set back, so that an expired lease seems to last. Then only the fencing number stops a holder
		// that was suspended.
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// Holds returns the fencing number, and true if the lease cannot have expired yet. After that it still returns true for
// maxExpiredHold while the store is unreachable.
func (k *LeasedKey) Holds() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := sinceBoot()
	return k.fence, k.lease != 0 && (now < k.expiresAt || (now < k.expiresAt+maxExpiredHold && k.storeUnreachable()))
}

// Renounce gives up the key if it is held under a fencing number that a replica refused. The lease is left to expire.
func (k *LeasedKey) Renounce(fence uint64) {
	k.mu.Lock()
	if k.fence == fence {
		k.lease = 0
	}
	k.mu.Unlock()
	k.notify(errors.New("a replica refused the fencing number"))
}

// Run acquires the key when it is free and renews its lease. It gives up the key and returns when the context ends.
func (k *LeasedKey) Run(ctx context.Context) error {
	defer k.release(context.WithoutCancel(ctx))
	backoff := minBackoff
	for {
		wait := checkInterval
		if err := k.renewOrAcquire(ctx); err != nil {
			wait, backoff = backoff, min(2*backoff, maxBackoff)
			k.notify(err)
		} else {
			backoff = minBackoff
			k.notify(nil)
			if _, holds := k.Holds(); !holds {
				wait = k.idleInterval()
			}
		}
		if !k.waitForChange(ctx, wait) {
			return ctx.Err()
		}
	}
}

// idleInterval returns the time until the next check of a key that this daemon does not hold. A free key that it may take is
// checked soon.
func (k *LeasedKey) idleInterval() time.Duration {
	if holder, known := k.lookup.Holder(k.key); known && holder == "" && k.eligible() {
		return checkInterval
	}
	return ineligibleInterval
}

// waitForChange waits for d, but no longer than until Lookup signals a change; it reports false if the context has ended.
func (k *LeasedKey) waitForChange(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-k.lookup.Changed():
	}
	return true
}

// renewOrAcquire renews the lease once only renewShare of its lifetime is left or, without a lease, acquires the key if it is
// free.
func (k *LeasedKey) renewOrAcquire(ctx context.Context) error {
	k.mu.Lock()
	lease, expiresAt := k.lease, k.expiresAt
	k.mu.Unlock()
	if lease != 0 {
		if expiresAt-sinceBoot() > time.Duration(k.renewShare*float64(k.lifetime)) {
			return nil
		}
		return k.renew(ctx, lease)
	}
	holder, known := k.lookup.Holder(k.key)
	if !known || holder != "" || !k.eligible() {
		return nil
	}
	timer := time.NewTimer(k.acquireDelay())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
	}
	select {
	case <-ctx.Done():
		return nil
	case k.acquiring <- struct{}{}:
		defer func() { <-k.acquiring }()
	}
	if holder, _ := k.lookup.Holder(k.key); holder != "" || !k.eligible() {
		return nil
	}
	return k.acquire(ctx)
}

// renew extends the lease; a lease that the store no longer knows is given up.
func (k *LeasedKey) renew(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, 3*k.timeout)
	defer cancel()
	sentAt := sinceBoot()
	err := k.store.Renew(ctx, lease)
	if isKind(err, mangostore.KindRestored) {
		var fence uint64
		if fence, err = k.findRestored(ctx, lease); err == nil {
			k.mu.Lock()
			k.fence = fence
			k.mu.Unlock()
			sentAt = sinceBoot()
			err = k.store.Renew(ctx, lease)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		// The store renews only leases that have not ended, so the key was held without interruption.
		k.expiresAt = sentAt + k.lifetime
		return nil
	}
	if isKind(err, mangostore.KindLeaseLost) {
		k.lease = 0
		return &Error{Op: "Renew", Kind: KindNotHolder, Err: err}
	}
	return &Error{Op: "Renew", Kind: KindStore, Err: err}
}

// findRestored looks for the key after the store has returned from a copy. If the copy has it with the lease of this daemon, it returns
// the new fencing number of the key.
func (k *LeasedKey) findRestored(ctx context.Context, lease uint64) (uint64, error) {
	item, err := k.store.Get(ctx, k.key)
	if err != nil {
		return 0, err
	}
	if string(item.Value) != k.owner || item.LeaseID != lease {
		return 0, &mangostore.Error{Op: "Get", Kind: mangostore.KindLeaseLost, Err: errors.New("the store has returned from a copy without the lease")}
	}
	return item.Version, nil
}

// acquire writes the key under a new lease, which fails if another daemon holds the key.
func (k *LeasedKey) acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*k.timeout)
	defer cancel()
	sentAt := sinceBoot()
	lease, err := k.store.Grant(ctx, k.lifetime)
	if err != nil {
		return &Error{Op: "Grant", Kind: KindStore, Err: err}
	}
	fence, err := k.store.Put(ctx, mangostore.Item{Key: k.key, Value: []byte(k.owner), LeaseID: lease})
	if isKind(err, mangostore.KindUnknown) {
		fence, err = k.readBack(ctx, lease)
	}
	switch {
	case err == nil:
	case isKind(err, mangostore.KindConflict):
		// The new lease is left to expire, which saves a call to revoke it.
		return &Error{Op: "Put", Kind: KindNotHolder, Err: err}
	default:
		return &Error{Op: "Put", Kind: KindStore, Err: err}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.fence, k.expiresAt = lease, fence, sentAt+k.lifetime
	return nil
}

// readBack returns the version of the key after a write whose result is unknown, or a conflict if the write has not taken
// effect. Should it do so later, the key vanishes with the lease, which is not renewed.
func (k *LeasedKey) readBack(ctx context.Context, lease uint64) (uint64, error) {
	item, err := k.store.Get(ctx, k.key)
	if err != nil {
		return 0, err
	}
	if string(item.Value) != k.owner || item.LeaseID != lease {
		return 0, &mangostore.Error{Op: "Get", Kind: mangostore.KindConflict, Err: errors.New("another daemon holds the key")}
	}
	return item.Version, nil
}

func isKind(err error, kind mangostore.Kind) bool {
	var e *mangostore.Error
	return errors.As(err, &e) && e.Kind == kind
}

// notify calls the observer if the key was won or lost since the last call.
func (k *LeasedKey) notify(err error) {
	fence, holds := k.Holds()
	k.mu.Lock()
	changed := holds != k.reportedHeld
	k.reportedHeld = holds
	k.mu.Unlock()
	if changed {
		k.observer(holds, fence, err)
	}
}

// GiveUp gives up the key if it is held, so that another daemon can take it at once. Run goes on and takes the key again when it is
// free and this daemon is eligible.
func (k *LeasedKey) GiveUp(ctx context.Context) { k.release(ctx) }

// release revokes the lease, so that another daemon can take the key before the lease expires.
func (k *LeasedKey) release(ctx context.Context) {
	k.mu.Lock()
	lease := k.lease
	k.lease = 0
	k.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	// If the call fails the lease expires by itself.
	err := k.store.Revoke(ctx, lease)
	if isKind(err, mangostore.KindRestored) {
		if _, err = k.findRestored(ctx, lease); err == nil {
			err = k.store.Revoke(ctx, lease)
		}
	}
	k.notify(err)
}
