package mangoledger

import (
	"context"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangostore"
)

// fault is the way in which the fake store fails one call: it is unavailable, the reply is lost after the write took
// effect, the request is lost, or the reply is lost and the write takes effect later.
type fault int

const (
	noFault fault = iota
	unavailable
	replyLost
	requestLost
	appliedLate
)

// fakeStore is a store in memory whose next calls can be made to fail; once faults is empty, defaultFault applies.
type fakeStore struct {
	mangostore.Store
	mu           sync.Mutex
	items        map[string]mangostore.Item
	next         uint64
	faults       []fault
	lateWrites   []mangostore.Item
	defaultFault fault
	puts         int
	grants       int
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]mangostore.Item{}} }

func (f *fakeStore) nextFault() fault {
	if len(f.faults) > 0 {
		next := f.faults[0]
		f.faults = f.faults[1:]
		return next
	}
	return f.defaultFault
}

func (f *fakeStore) setFaults(faults ...fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *fakeStore) applyLateWrites() {
	late := f.lateWrites
	f.lateWrites = nil
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
	if f.nextFault() != noFault {
		return mangostore.Item{}, &mangostore.Error{Op: "Get", Kind: mangostore.KindUnavailable}
	}
	return f.items[key], nil
}

func (f *fakeStore) Put(_ context.Context, item mangostore.Item) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	unknown := &mangostore.Error{Op: "Put", Kind: mangostore.KindUnknown}
	switch f.nextFault() {
	case unavailable:
		return 0, &mangostore.Error{Op: "Put", Kind: mangostore.KindUnavailable}
	case replyLost:
		_, _ = f.apply(item)
		return 0, unknown
	case requestLost:
		return 0, unknown
	case appliedLate:
		f.lateWrites = append(f.lateWrites, item)
		return 0, unknown
	case noFault:
	}
	return f.apply(item)
}

func (f *fakeStore) Grant(context.Context, time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextFault() != noFault {
		return 0, &mangostore.Error{Op: "Grant", Kind: mangostore.KindUnavailable}
	}
	f.grants++
	return uint64(f.grants), nil
}
