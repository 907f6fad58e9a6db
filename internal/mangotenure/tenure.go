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
	// maxHaste bounds the random pause before a free key is taken, so that daemons do not all write at once.
	maxHaste = 120 * time.Millisecond
	// maxOverdue bounds the time for which a holder goes on while the store is out of reach.
	maxOverdue = 30 * time.Second
	// minPause and maxPause bound the growing pause after a failed call.
	minPause = 200 * time.Millisecond
	maxPause = 2 * time.Second
)

// LeasedKey is one daemon's hold of a key. Its methods are safe for concurrent use.
type LeasedKey struct {
	store    Store
	key      string
	owner    string
	lookup   Lookup
	observe  Observer
	lifetime time.Duration
	timeout  time.Duration
	// alone reports that no daemon that this one hears from reaches the store.
	alone func() bool

	mu    sync.Mutex
	lease uint64
	fence uint64
	// until is the end of the lease on the clock that goes on while the process is suspended, counted from before the
	// last call that was answered.
	until time.Duration
	holds bool
}

// Option sets a property of a Tenure.
type Option func(*LeasedKey)

// WithLifetime sets the lifetime of the lease; the default is 2 s.
func WithLifetime(d time.Duration) Option { return func(t *LeasedKey) { t.lifetime = d } }

// WithTimeout bounds each call to the store; the default is 500 ms.
func WithTimeout(d time.Duration) Option { return func(t *LeasedKey) { t.timeout = d } }

// WithObserver sets the receiver of changes.
func WithObserver(o Observer) Option { return func(t *LeasedKey) { t.observe = o } }

// WithStoreUnreachable lets the holder go on after the end of its lease while a function reports that no daemon that this one hears
// from reaches the store, so that nobody can have taken the key. Where another daemon has it all the same, beyond a cut,
// replicas refuse the lower fencing number.
func WithStoreUnreachable(f func() bool) Option { return func(t *LeasedKey) { t.alone = f } }

// New returns a tenure that does not hold the key yet. The owner must differ from that of every other process, earlier
// ones of the same daemon included.
func New(store Store, key, owner string, lookup Lookup, opts ...Option) *LeasedKey {
	t := &LeasedKey{
		store: store, key: key, owner: owner, lookup: lookup, observe: func(bool, uint64, error) {},
		alone:    func() bool { return false },
		lifetime: 2 * time.Second, timeout: 500 * time.Millisecond,
	}
	for _, o := range opts {
		o(t)
	}
	return t
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
func (t *LeasedKey) Holds() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := sinceBoot()
	return t.fence, t.lease != 0 && (now < t.until || (now < t.until+maxOverdue && t.alone()))
}

// Renounce gives up the key after a replica has seen a higher number.
func (t *LeasedKey) Renounce(fence uint64) {
	t.mu.Lock()
	if t.fence == fence {
		t.lease = 0
	}
	t.mu.Unlock()
	t.report(errors.New("a higher fencing number was seen"))
}

// Run takes the key when it is free and keeps it until the context ends, then gives it back.
func (t *LeasedKey) Run(ctx context.Context) error {
	defer t.release(context.WithoutCancel(ctx))
	pause := minPause
	for {
		wait := checkInterval
		if err := t.step(ctx); err != nil {
			wait, pause = pause, min(2*pause, maxPause)
			t.report(err)
		} else {
			pause = minPause
			t.report(nil)
		}
		if !t.sleep(ctx, wait) {
			return ctx.Err()
		}
	}
}

// sleep waits for a time or a change of what is known; it reports false once the context has ended.
func (t *LeasedKey) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-t.lookup.Changed():
	}
	return true
}

// step renews the lease when it is due or takes a free key.
func (t *LeasedKey) step(ctx context.Context) error {
	t.mu.Lock()
	lease, until := t.lease, t.until
	t.mu.Unlock()
	if lease != 0 {
		if until-sinceBoot() > t.lifetime*3/4 {
			return nil
		}
		return t.renew(ctx, lease)
	}
	holder, known := t.lookup.Holder(t.key)
	if !known || holder != "" {
		return nil
	}
	timer := time.NewTimer(rand.N(maxHaste))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
	}
	if holder, _ := t.lookup.Holder(t.key); holder != "" {
		return nil
	}
	return t.acquire(ctx)
}

func (t *LeasedKey) renew(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	began := sinceBoot()
	err := t.store.Renew(ctx, lease)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		// The store renews only a lease that has not ended, so the key was held all the while.
		t.until = began + t.lifetime
		return nil
	}
	if isKind(err, mangostore.KindLeaseLost) {
		t.lease = 0
		return &Error{Op: "Renew", Kind: KindNotHolder, Err: err}
	}
	return &Error{Op: "Renew", Kind: KindStore, Err: err}
}

func (t *LeasedKey) acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*t.timeout)
	defer cancel()
	began := sinceBoot()
	lease, err := t.store.Grant(ctx, t.lifetime)
	if err != nil {
		return &Error{Op: "Grant", Kind: KindStore, Err: err}
	}
	fence, err := t.store.Put(ctx, mangostore.Item{Key: t.key, Value: []byte(t.owner), LeaseID: lease})
	if isKind(err, mangostore.KindUnknown) {
		fence, err = t.readBack(ctx, lease)
	}
	switch {
	case err == nil:
	case isKind(err, mangostore.KindConflict):
		// The lease is left to end by itself, which saves a call.
		return &Error{Op: "Put", Kind: KindNotHolder, Err: err}
	default:
		return &Error{Op: "Put", Kind: KindStore, Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease, t.fence, t.until = lease, fence, began+t.lifetime
	return nil
}

// readBack finds out whether a write without an answer took effect. One that takes effect later fails or ends with the
// lease, which is not renewed then.
func (t *LeasedKey) readBack(ctx context.Context, lease uint64) (uint64, error) {
	item, err := t.store.Get(ctx, t.key)
	if err != nil {
		return 0, err
	}
	if string(item.Value) != t.owner || item.LeaseID != lease {
		return 0, &mangostore.Error{Op: "Get", Kind: mangostore.KindConflict, Err: errors.New("another daemon holds the key")}
	}
	return item.Version, nil
}

func isKind(err error, kind mangostore.Kind) bool {
	var e *mangostore.Error
	return errors.As(err, &e) && e.Kind == kind
}

// report tells the observer of a change between holding and not holding.
func (t *LeasedKey) report(err error) {
	fence, holds := t.Holds()
	t.mu.Lock()
	changed := holds != t.holds
	t.holds = holds
	t.mu.Unlock()
	if changed {
		t.observe(holds, fence, err)
	}
}

// release ends the lease, so that another daemon need not wait for its end.
func (t *LeasedKey) release(ctx context.Context) {
	t.mu.Lock()
	lease := t.lease
	t.lease = 0
	t.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	// The lease ends by itself if the call fails.
	err := t.store.Revoke(ctx, lease)
	t.report(err)
}
