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

// MaxValueBytes is the size above which the service refuses a value.
const MaxValueBytes = 1 << 20

// Store is a key-value service in memory. Versions come from one counter that Restore does not reset, so that a
// version is never used for two values.
type Store struct {
	now func() time.Time

	mu      sync.Mutex
	items   map[string]mangostore.Item
	leases  map[uint64]lease
	version uint64
	changed chan struct{}
	hosts   *mangomessage.HostList
	faults  faults
	calls   map[string]int
}

type lease struct {
	ttl time.Duration
	end time.Time
}

type faults struct {
	down         bool
	loseReplies  int
	loseRequests int
	before       func(op, key string)
	running      bool
}

// Snapshot is a state of the store that Restore brings back.
type Snapshot struct{ items map[string]mangostore.Item }

var (
	_ mangostore.ConditionalStore    = (*Store)(nil)
	_ mangostore.HostLister = (*Store)(nil)
)

// Option sets an optional property of a Store.
type Option func(*Store)

// WithClock replaces the clock that ends leases.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// New returns an empty store.
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
	unlock, err := s.begin("Get", key)
	if err != nil {
		return mangostore.Item{}, err
	}
	defer unlock()
	return s.get(key), nil
}

// GetAfter implements mangostore.Backend.
func (s *Store) GetAfter(_ context.Context, key string, after uint64) (mangostore.Item, bool, error) {
	unlock, err := s.begin("GetAfter", key)
	if err != nil {
		return mangostore.Item{}, false, err
	}
	defer unlock()
	item := s.get(key)
	return item, item.Version > after, nil
}

// List implements mangostore.Store.
func (s *Store) List(_ context.Context, prefix string) ([]mangostore.Item, error) {
	unlock, err := s.begin("List", prefix)
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
	unlock, err := s.beginWrite("Put", item.Key)
	if err != nil {
		return 0, err
	}
	defer unlock()
	if len(item.Value) > MaxValueBytes {
		return 0, fail("Put", mangostore.KindInvalid, "value is too large")
	}
	if item.LeaseID != 0 && !s.live(item.LeaseID) {
		return 0, fail("Put", mangostore.KindLeaseLost, "lease had ended")
	}
	if present := s.get(item.Key).Version; present != item.Version {
		return present, fail("Put", mangostore.KindConflict, "key is at another version")
	}
	s.version++
	item.Value, item.Version = slices.Clone(item.Value), s.version
	s.items[item.Key] = item
	s.notify()
	return item.Version, s.reply("Put")
}

// Delete implements mangostore.Store.
func (s *Store) Delete(_ context.Context, key string, version uint64) error {
	unlock, err := s.beginWrite("Delete", key)
	if err != nil {
		return err
	}
	defer unlock()
	if s.get(key).Version != version {
		return fail("Delete", mangostore.KindConflict, "key is at another version")
	}
	delete(s.items, key)
	s.notify()
	return s.reply("Delete")
}

// Grant implements mangostore.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	unlock, err := s.beginWrite("Grant", "")
	if err != nil {
		return 0, err
	}
	defer unlock()
	s.version++
	s.leases[s.version] = lease{ttl: ttl, end: s.now().Add(ttl)}
	return s.version, s.reply("Grant")
}

// Renew implements mangostore.Store.
func (s *Store) Renew(_ context.Context, id uint64) error {
	unlock, err := s.beginWrite("Renew", "")
	if err != nil {
		return err
	}
	defer unlock()
	if !s.live(id) {
		return fail("Renew", mangostore.KindLeaseLost, "lease had ended")
	}
	l := s.leases[id]
	s.leases[id] = lease{ttl: l.ttl, end: s.now().Add(l.ttl)}
	return s.reply("Renew")
}

// Revoke implements mangostore.Store.
func (s *Store) Revoke(_ context.Context, id uint64) error {
	unlock, err := s.beginWrite("Revoke", "")
	if err != nil {
		return err
	}
	defer unlock()
	delete(s.leases, id)
	s.notify()
	return s.reply("Revoke")
}

// Watch implements mangostore.Store; it waits until the version changes or ctx ends, which gives the item unchanged.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (mangostore.Item, error) {
	for {
		unlock, err := s.begin("Watch", key)
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
	unlock, err := s.begin("Hosts", "")
	if err != nil {
		return nil, err
	}
	defer unlock()
	return s.hosts, nil
}

// get returns the item of a key unless its lease has ended.
func (s *Store) get(key string) mangostore.Item {
	item, ok := s.items[key]
	if !ok || item.LeaseID != 0 && !s.live(item.LeaseID) {
		return mangostore.Item{Key: key}
	}
	item.Value = slices.Clone(item.Value)
	return item
}

func (s *Store) live(id uint64) bool {
	l, ok := s.leases[id]
	return ok && s.now().Before(l.end)
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func fail(op string, kind mangostore.Kind, text string) error {
	return &mangostore.Error{Op: op, Kind: kind, Err: errors.New(text)}
}
