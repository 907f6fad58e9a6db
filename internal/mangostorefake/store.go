package mangostorefake

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// MaxValueBytes is the largest size of a value that Put accepts.
const MaxValueBytes = 1 << 20

// Store is a key-value service and host list in memory; it is safe for concurrent use. Versions and lease ids come from one
// counter that Restore does not reset, so that no version is ever used for two values.
type Store struct {
	now func() time.Time

	mu sync.Mutex
	// items may contain items whose lease has ended; get leaves them out.
	items   map[string]mangostore.Item
	leases  map[uint64]lease
	version uint64
	// changed is closed and replaced on each change, which wakes all watches.
	changed chan struct{}
	hosts   *mangomessage.HostList
	faults  faults
	// calls is the number of calls by operation.
	calls map[string]int
}

// lease is a granted lease with its lifetime and the time at which it ends unless it is renewed.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// faults are the faults to inject into the next calls.
type faults struct {
	down         bool
	loseReplies  int
	loseRequests int
	beforeCall   func(op, key string)
	inBeforeCall bool
}

// Snapshot is a copy of the items of a store for Restore.
type Snapshot struct{ items map[string]mangostore.Item }

var (
	_ mangostore.ConditionalStore = (*Store)(nil)
	_ mangostore.HostLister       = (*Store)(nil)
)

// Option sets an optional property of a new Store.
type Option func(*Store)

// WithClock replaces time.Now as the clock that decides when leases end.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// New returns a store without items, leases, hosts and faults.
func New(opts ...Option) *Store {
	s := &Store{
		now: time.Now, items: map[string]mangostore.Item{}, leases: map[uint64]lease{},
		changed: make(chan struct{}), hosts: &mangomessage.HostList{}, calls: map[string]int{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Get implements mangostore.Store.
func (s *Store) Get(_ context.Context, key string) (mangostore.Item, error) {
	unlock, err := s.startCall("Get", key)
	if err != nil {
		return mangostore.Item{}, err
	}
	defer unlock()
	return s.get(key), nil
}

// GetAfter implements mangostore.ConditionalStore.
func (s *Store) GetAfter(_ context.Context, key string, after uint64) (mangostore.Item, bool, error) {
	unlock, err := s.startCall("GetAfter", key)
	if err != nil {
		return mangostore.Item{}, false, err
	}
	defer unlock()
	item := s.get(key)
	return item, item.Version > after, nil
}

// List implements mangostore.Store.
func (s *Store) List(_ context.Context, prefix string) ([]mangostore.Item, error) {
	unlock, err := s.startCall("List", prefix)
	if err != nil {
		return nil, err
	}
	defer unlock()
	var items []mangostore.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && s.get(key).Version != 0 {
			items = append(items, s.get(key))
		}
	}
	return items, nil
}

// Put implements mangostore.Store.
func (s *Store) Put(_ context.Context, item mangostore.Item) (uint64, error) {
	unlock, err := s.startWrite("Put", item.Key)
	if err != nil {
		return 0, err
	}
	defer unlock()
	if len(item.Value) > MaxValueBytes {
		return 0, newError("Put", mangostore.KindInvalid, "the value is larger than 1 MiB")
	}
	if item.LeaseID != 0 && !s.isLeaseLive(item.LeaseID) {
		return 0, newError("Put", mangostore.KindLeaseLost, "the lease does not exist or has ended")
	}
	if present := s.get(item.Key).Version; present != item.Version {
		return present, newError("Put", mangostore.KindConflict, "the key is at another version than expected")
	}
	s.version++
	item.Value, item.Version = slices.Clone(item.Value), s.version
	s.items[item.Key] = item
	s.wakeWatches()
	return item.Version, s.takeLostReply("Put")
}

// Delete implements mangostore.Store.
func (s *Store) Delete(_ context.Context, key string, version uint64) error {
	unlock, err := s.startWrite("Delete", key)
	if err != nil {
		return err
	}
	defer unlock()
	if s.get(key).Version != version {
		return newError("Delete", mangostore.KindConflict, "the key is at another version than expected")
	}
	delete(s.items, key)
	s.wakeWatches()
	return s.takeLostReply("Delete")
}

// Grant implements mangostore.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	unlock, err := s.startWrite("Grant", "")
	if err != nil {
		return 0, err
	}
	defer unlock()
	s.version++
	s.leases[s.version] = lease{ttl: ttl, expiresAt: s.now().Add(ttl)}
	return s.version, s.takeLostReply("Grant")
}

// Renew implements mangostore.Store.
func (s *Store) Renew(_ context.Context, id uint64) error {
	unlock, err := s.startWrite("Renew", "")
	if err != nil {
		return err
	}
	defer unlock()
	if !s.isLeaseLive(id) {
		return newError("Renew", mangostore.KindLeaseLost, "the lease does not exist or has ended")
	}
	l := s.leases[id]
	s.leases[id] = lease{ttl: l.ttl, expiresAt: s.now().Add(l.ttl)}
	return s.takeLostReply("Renew")
}

// Revoke implements mangostore.Store.
func (s *Store) Revoke(_ context.Context, id uint64) error {
	unlock, err := s.startWrite("Revoke", "")
	if err != nil {
		return err
	}
	defer unlock()
	delete(s.leases, id)
	s.wakeWatches()
	return s.takeLostReply("Revoke")
}

// Watch implements mangostore.Store. It returns the item once its version is above after, or unchanged when ctx ends.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (mangostore.Item, error) {
	for {
		unlock, err := s.startCall("Watch", key)
		if err != nil {
			return mangostore.Item{}, err
		}
		item, changed := s.get(key), s.changed
		unlock()
		if item.Version > after {
			return item, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return item, nil
		}
	}
}

// Hosts implements mangostore.HostLister.
func (s *Store) Hosts(context.Context) (*mangomessage.HostList, error) {
	unlock, err := s.startCall("Hosts", "")
	if err != nil {
		return nil, err
	}
	defer unlock()
	return s.hosts, nil
}

// get returns the item of a key, or an item with Version 0 if the key does not exist or its lease has ended.
func (s *Store) get(key string) mangostore.Item {
	item, ok := s.items[key]
	if !ok || item.LeaseID != 0 && !s.isLeaseLive(item.LeaseID) {
		return mangostore.Item{Key: key}
	}
	item.Value = slices.Clone(item.Value)
	return item
}

// isLeaseLive returns whether a lease exists and has neither expired nor been revoked.
func (s *Store) isLeaseLive(id uint64) bool {
	l, ok := s.leases[id]
	return ok && s.now().Before(l.expiresAt)
}

// wakeWatches makes all running watches read their key again.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func newError(op string, kind mangostore.Kind, text string) error {
	return &mangostore.Error{Op: op, Kind: kind, Err: errors.New(text)}
}
