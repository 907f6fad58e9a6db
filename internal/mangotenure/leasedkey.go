package mangotenure

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"mangopath.org/mangopath/internal/mangostore"
)

// Store is the part of the platform's store that a tenure needs.
type Store interface {
	Get(ctx context.Context, key string) (mangostore.Item, error)
	Put(ctx context.Context, item mangostore.Item) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Lookup returns the holder of the key as far as is known from the watch; known is false until the first answer of the
// store. Changed is signalled after each change of what it returns.
type Lookup interface {
	Holder(key string) (holder string, known bool)
	Changed() <-chan struct{}
}

// Observer is told when the key is won or lost. It never blocks.
type Observer func(holds bool, fence uint64, err error)

const (
	// checkInterval is the time between two looks at the state; the signal of Lookup comes before it.
	checkInterval = 250 * time.Millisecond
	// maxAcquireDelay bounds the random backoff before a free key is taken, so that daemons do not all write at once.
	maxAcquireDelay = 120 * time.Millisecond
	// maxExpiredHold bounds the time for which a holder goes on while the store is out of reach.
	maxExpiredHold = 30 * time.Second
	// minBackoff and maxPause bound the growing backoff after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// LeasedKey is one daemon's hold of a key. Its methods are safe for concurrent use.
type LeasedKey struct {
	store    Store
	key      string
	owner    string
	lookup   Lookup
	observer Observer
	lifetime time.Duration
	timeout  time.Duration
	// storeUnreachable reports that no daemon that this one hears from reaches the store.
	storeUnreachable func() bool

	mu    sync.Mutex
	lease uint64
	fence uint64
	// expiresAt is the end of the lease on the clock that goes on while the process is suspended, counted from before the
	// last call that was answered.
	expiresAt    time.Duration
	reportedHeld bool
}

// Option sets a property of a Tenure.
type Option func(*LeasedKey)

// WithLifetime sets the lifetime of the lease; the default is 2 s.
func WithLifetime(d time.Duration) Option { return func(k *LeasedKey) { k.lifetime = d } }

// WithTimeout bounds each call to the store; the default is 500 ms.
func WithTimeout(d time.Duration) Option { return func(k *LeasedKey) { k.timeout = d } }

// WithObserver sets the receiver of changes.
func WithObserver(o Observer) Option { return func(k *LeasedKey) { k.observer = o } }

// WithStoreUnreachable lets the holder go on after the end of its lease while a function reports that no daemon that this one hears
// from reaches the store, so that nobody can have taken the key. Where another daemon has it all the same, beyond a cut,
// replicas refuse the lower fencing number.
func WithStoreUnreachable(f func() bool) Option { return func(k *LeasedKey) { k.storeUnreachable = f } }

// New returns a tenure that does not hold the key yet. The owner must differ from that of every other process, earlier
// ones of the same daemon included.
func New(store Store, key, owner string, lookup Lookup, opts ...Option) *LeasedKey {
	k := &LeasedKey{
		store: store, key: key, owner: owner, lookup: lookup, observer: func(bool, uint64, error) {},
		storeUnreachable: func() bool { return false },
		lifetime:         2 * time.Second, timeout: 500 * time.Millisecond,
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// sinceBoot reads the clock that counts the time for which the machine is suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without that clock a suspended holder is caught by the fencing number only.
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// Holds returns the fencing number while the lease surely lasts, or nobody else can have taken it.
func (k *LeasedKey) Holds() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := sinceBoot()
	return k.fence, k.lease != 0 && (now < k.expiresAt || (now < k.expiresAt+maxExpiredHold && k.storeUnreachable()))
}

// Renounce gives up the key after a replica has seen a higher number.
func (k *LeasedKey) Renounce(fence uint64) {
	k.mu.Lock()
	if k.fence == fence {
		k.lease = 0
	}
	k.mu.Unlock()
	k.notify(errors.New("a higher fencing number was seen"))
}

// Run takes the key when it is free and keeps it until the context ends, then gives it back.
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
		}
		if !k.waitForChange(ctx, wait) {
			return ctx.Err()
		}
	}
}

// waitForChange waits for a time or a change of what is known; it reports false once the context has ended.
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

// renewOrAcquire renews the lease when it is due or takes a free key.
func (k *LeasedKey) renewOrAcquire(ctx context.Context) error {
	k.mu.Lock()
	lease, expiresAt := k.lease, k.expiresAt
	k.mu.Unlock()
	if lease != 0 {
		if expiresAt-sinceBoot() > k.lifetime*3/4 {
			return nil
		}
		return k.renew(ctx, lease)
	}
	holder, known := k.lookup.Holder(k.key)
	if !known || holder != "" {
		return nil
	}
	timer := time.NewTimer(rand.N(maxAcquireDelay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
	}
	if holder, _ := k.lookup.Holder(k.key); holder != "" {
		return nil
	}
	return k.acquire(ctx)
}

func (k *LeasedKey) renew(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	sentAt := sinceBoot()
	err := k.store.Renew(ctx, lease)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		// The store renews only a lease that has not ended, so the key was held all the while.
		k.expiresAt = sentAt + k.lifetime
		return nil
	}
	if isKind(err, mangostore.KindLeaseLost) {
		k.lease = 0
		return &Error{Op: "Renew", Kind: KindNotHolder, Err: err}
	}
	return &Error{Op: "Renew", Kind: KindStore, Err: err}
}

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
		// The lease is left to end by itself, which saves a call.
		return &Error{Op: "Put", Kind: KindNotHolder, Err: err}
	default:
		return &Error{Op: "Put", Kind: KindStore, Err: err}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.fence, k.expiresAt = lease, fence, sentAt+k.lifetime
	return nil
}

// readBack finds out whether a write without an answer took effect. One that takes effect later fails or ends with the
// lease, which is not renewed then.
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

// notify tells the observer of a change between holding and not holding.
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

// release ends the lease, so that another daemon need not wait for its end.
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
	// The lease ends by itself if the call fails.
	err := k.store.Revoke(ctx, lease)
	k.notify(err)
}
