package mangoverdict

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangostore"
)

const (
	// checkInterval is the time between two comparisons of what is known with what is recorded.
	checkInterval = 200 * time.Millisecond
	// writeTurn is the time after which the next hub writes a record that the one before has not written.
	writeTurn = time.Second
	// retryPause is the time after a failed write of a record until the next one.
	retryPause = time.Second
	// maxStored is the number of records from which no further fingerprint gets one.
	maxStored = 128
	// callTimeout bounds each call to the store.
	callTimeout = time.Second
)

// Store is the part of the key-value service that records are kept in.
type Store interface {
	Get(ctx context.Context, key string) (mangostore.Item, error)
	Put(ctx context.Context, item mangostore.Item) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// Tracker knows the fingerprints that crash replicas.
type Tracker interface {
	Records(now time.Time) []mangocrash.Record
	Check(fingerprint string, now time.Time) mangocrash.Verdict
	Restore(r mangocrash.Record, now time.Time)
	Forget(fingerprint string, now time.Time)
}

// Keeper writes what a tracker knows to the store, and gives the tracker what other daemons have written.
type Keeper struct {
	self    string
	tracker Tracker
	store   Store
	state   State
	logger  logrus.FieldLogger

	// now is the clock.
	now func() time.Time

	mu sync.Mutex
	// stored has the records in the store by their keys, as far as they can be read.
	stored map[string]mangocrash.Record

	// dueAt has when this daemon first saw that a record has to be written or removed, and retryAt when it tries again after a failure, by
	// key. Both are owned by Run.
	dueAt, retryAt map[string]time.Time
}

// Option sets a property of a Keeper.
type Option func(*Keeper)

// WithLogger sets the logger of records that are written, removed and taken.
func WithLogger(l logrus.FieldLogger) Option { return func(k *Keeper) { k.logger = l } }

// New returns a keeper of the daemon named self.
func New(self string, tracker Tracker, store Store, state State, opts ...Option) *Keeper {
	k := &Keeper{
		self: self, tracker: tracker, store: store, state: state, logger: logrus.StandardLogger(), stored: map[string]mangocrash.Record{},
		now:   time.Now,
		dueAt: map[string]time.Time{}, retryAt: map[string]time.Time{},
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// HandleKey takes the value of a key below KeyPrefix, empty if it was removed. fromCopy says that the store has lately returned from a copy:
// a key that the copy lacks was not removed by anybody, and is written again.
func (k *Keeper) HandleKey(key, value string, fromCopy bool) {
	now := k.now()
	if value == "" {
		k.handleRemoval(key, fromCopy, now)
		return
	}
	r, err := decode([]byte(value))
	if err != nil {
		k.logger.WithFields(logrus.Fields{"event": "crash_record_invalid", "key": key}).WithError(err).Warn("a record of crashes cannot be read")
		return
	}
	k.mu.Lock()
	k.stored[key] = r
	k.mu.Unlock()
	k.tracker.Restore(r, now)
}

func (k *Keeper) handleRemoval(key string, fromCopy bool, now time.Time) {
	k.mu.Lock()
	r, known := k.stored[key]
	delete(k.stored, key)
	k.mu.Unlock()
	if known && !fromCopy {
		k.tracker.Forget(r.Fingerprint, now)
	}
}

// Run writes and removes records until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			k.reconcile(ctx, k.now())
		}
	}
}

// reconcile writes the records that are missing or out of date, and removes those that no crash counts for any more.
func (k *Keeper) reconcile(ctx context.Context, now time.Time) {
	view := k.state.View()
	isWriter := len(view.Members) == 0 || slices.ContainsFunc(view.Members, func(m mangostate.Member) bool { return m.Name == k.self })
	if !isWriter || !view.Synced || !view.Reachable {
		return
	}
	stored := k.storedRecords()
	due := map[string]bool{}
	for _, r := range k.tracker.Records(now) {
		key := Key(r.Fingerprint)
		old, exists := stored[key]
		delete(stored, key)
		if (exists && !adds(r, old)) || (!exists && len(stored) >= maxStored) {
			continue
		}
		due[key] = true
		if k.isTurn(key, view.Members, now) {
			k.finish(key, now, "written", k.write(ctx, key, r))
		}
	}
	for key, r := range stored {
		if k.tracker.Check(r.Fingerprint, now) != mangocrash.Clear {
			continue
		}
		due[key] = true
		if k.isTurn(key, view.Members, now) {
			k.finish(key, now, "removed", k.remove(ctx, key))
		}
	}
	for key := range k.dueAt {
		if !due[key] {
			delete(k.dueAt, key)
			delete(k.retryAt, key)
		}
	}
}

// storedRecords returns a copy of what is in the store.
func (k *Keeper) storedRecords() map[string]mangocrash.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.stored)
}

// adds reports whether a record says more than the stored one.
func adds(r, stored mangocrash.Record) bool {
	if r.Condemned && !stored.Condemned {
		return true
	}
	latest := func(r mangocrash.Record) time.Time {
		var at time.Time
		for _, c := range r.Crashes {
			if c.At.After(at) {
				at = c.At
			}
		}
		return at
	}
	// Times in the store are in milliseconds.
	return len(r.Crashes) > len(stored.Crashes) || latest(r).Sub(latest(stored)) > time.Second
}

// isTurn reports whether this daemon writes or removes a record now: hubs do so one after the other, and other daemons only if there are none.
func (k *Keeper) isTurn(key string, hubs []mangostate.Member, now time.Time) bool {
	if _, known := k.dueAt[key]; !known {
		k.dueAt[key] = now
	}
	if now.Before(k.retryAt[key]) {
		return false
	}
	var names []string
	for _, h := range hubs {
		if !slices.Contains(names, h.Name) {
			names = append(names, h.Name)
		}
	}
	if len(names) == 0 {
		return true
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+" "+key), xxhash.Sum64String(b+" "+key))
	})
	rank := slices.Index(names, k.self)
	return rank >= 0 && now.Sub(k.dueAt[key]) >= time.Duration(rank)*writeTurn
}

// finish logs the result of a write and sets when it is tried again, unless the store tells of it first.
func (k *Keeper) finish(key string, now time.Time, done string, err error) {
	k.retryAt[key] = now.Add(retryPause)
	entry := k.logger.WithFields(logrus.Fields{"event": "crash_record", "key": key, "result": done})
	if err != nil {
		entry.WithField("result", "failed").WithError(err).Warn("a record of crashes could not be written or removed")
		return
	}
	entry.Info("a record of crashes was written or removed")
}

// write writes a record unless the store has one that says as much.
func (k *Keeper) write(ctx context.Context, key string, r mangocrash.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := encode(r)
	if err != nil {
		return err
	}
	item, err := k.store.Get(ctx, key)
	if err != nil {
		return &Error{Op: "Write", Kind: KindStore, Err: err}
	}
	if old, err := decode(item.Value); item.Version != 0 && err == nil && old.Fingerprint == r.Fingerprint && !adds(r, old) {
		return nil
	}
	if _, err := k.store.Put(ctx, mangostore.Item{Key: key, Value: value, Version: item.Version}); err != nil {
		return &Error{Op: "Write", Kind: KindStore, Err: err}
	}
	return nil
}

// remove removes a record.
func (k *Keeper) remove(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := k.store.Get(ctx, key)
	if err != nil {
		return &Error{Op: "Remove", Kind: KindStore, Err: err}
	}
	if item.Version == 0 {
		return nil
	}
	if err := k.store.Delete(ctx, key, item.Version); err != nil {
		return &Error{Op: "Remove", Kind: KindStore, Err: err}
	}
	return nil
}
