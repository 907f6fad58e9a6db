package mangoledger

import (
	"context"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangostore"
)

// fault is what the fake store does to one call.
type fault int

const (
	fine fault = iota
	down
	lostAfter
	lostBefore
	lostLate
)

// fakeStore is a store whose next calls can be made to fail.
type fakeStore struct {
	mangostore.Store
	mu     sync.Mutex
	items  map[string]mangostore.Item
	next   uint64
	faults []fault
	late   []mangostore.Item
	always fault
	puts   int
	grants int
}

func newFake() *fakeStore { return &fakeStore{items: map[string]mangostore.Item{}} }

func (f *fakeStore) fault() fault {
	if len(f.faults) > 0 {
		next := f.faults[0]
		f.faults = f.faults[1:]
		return next
	}
	return f.always
}

func (f *fakeStore) set(faults ...fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *fakeStore) deliver() {
	late := f.late
	f.late = nil
	for _, item := range late {
		_, _ = f.apply(item)
	}
}

func (f *fakeStore) apply(item mangostore.Item) (uint64, error) {
	if f.items[item.Key].Version != item.Version {
		return 0, &mangostore.Error{Op: "Put", Kind: mangostore.KindConflict}
	}
	f.next++
	item.Version = f.next
	f.items[item.Key] = item
	return f.next, nil
}

func (f *fakeStore) Get(_ context.Context, key string) (mangostore.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault() != fine {
		return mangostore.Item{}, &mangostore.Error{Op: "Get", Kind: mangostore.KindUnavailable}
	}
	return f.items[key], nil
}

func (f *fakeStore) Put(_ context.Context, item mangostore.Item) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	unknown := &mangostore.Error{Op: "Put", Kind: mangostore.KindUnknown}
	switch f.fault() {
	case down:
		return 0, &mangostore.Error{Op: "Put", Kind: mangostore.KindUnavailable}
	case lostAfter:
		_, _ = f.apply(item)
		return 0, unknown
	case lostBefore:
		return 0, unknown
	case lostLate:
		f.late = append(f.late, item)
		return 0, unknown
	case fine:
	}
	return f.apply(item)
}

func (f *fakeStore) Grant(context.Context, time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault() != fine {
		return 0, &mangostore.Error{Op: "Grant", Kind: mangostore.KindUnavailable}
	}
	f.grants++
	return uint64(f.grants), nil
}
