package mangoplacement

import (
	"context"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// fakeStore keeps items and leases in memory; leases expire by time.Now, which is synctest's clock in most tests.
type fakeStore struct {
	mangostore.Store
	mu     sync.Mutex
	items  map[string]mangostore.Item
	leases map[uint64]time.Time
	ttl    map[uint64]time.Duration
	next   uint64
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]mangostore.Item{}, leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{}}
}

func (f *fakeStore) isLive(lease uint64) bool {
	return lease == 0 || time.Now().Before(f.leases[lease])
}

func (f *fakeStore) item(key string) mangostore.Item {
	if i := f.items[key]; f.isLive(i.LeaseID) {
		return i
	}
	return mangostore.Item{}
}

func (f *fakeStore) Get(_ context.Context, key string) (mangostore.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.item(key), nil
}

func (f *fakeStore) Put(_ context.Context, item mangostore.Item) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.item(item.Key).Version != item.Version || !f.isLive(item.LeaseID) {
		return 0, &mangostore.Error{Op: "Put", Kind: mangostore.KindConflict}
	}
	f.next++
	item.Version = f.next
	f.items[item.Key] = item
	return f.next, nil
}

func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	f.leases[f.next], f.ttl[f.next] = time.Now().Add(ttl), ttl
	return f.next, nil
}

func (f *fakeStore) Renew(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isLive(lease) {
		return &mangostore.Error{Op: "Renew", Kind: mangostore.KindLeaseLost}
	}
	f.leases[lease] = time.Now().Add(f.ttl[lease])
	return nil
}

func (f *fakeStore) Revoke(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leases, lease)
	return nil
}

// acceptedOrder is an order that an engine accepted.
type acceptedOrder struct {
	at        time.Time
	fence     uint64
	fromLayer uint32
}

// fakeEngine accepts orders; with checksFence it refuses those with an old fencing number. It never reports the layers
// that were ordered, so each round orders them again.
type fakeEngine struct {
	mu           sync.Mutex
	checksFence  bool
	highestFence uint64
	accepted     []acceptedOrder
}

func (f *fakeEngine) accept(order *mangomessage.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checksFence && order.GetFencingNumber() < f.highestFence {
		return false
	}
	f.highestFence = max(f.highestFence, order.GetFencingNumber())
	f.accepted = append(f.accepted, acceptedOrder{at: time.Now(), fence: order.GetFencingNumber(), fromLayer: order.GetFromLayer()})
	return true
}

// fakeDaemon is the Sender and Source of one placer. It can be paused once at each point, as SIGSTOP would.
type fakeDaemon struct {
	engines map[string]*fakeEngine
	desired DesiredState
	// pauseRead is a pause after a read and pauseSend one before a send, both from pauseFrom on. With sendsAfterDeadline
	// an order whose context ended during the pause is sent all the same.
	pauseRead          time.Duration
	pauseSend          time.Duration
	sendsAfterDeadline bool
	pauseFrom          time.Time
}

func (d *fakeDaemon) pause(p *time.Duration) {
	if *p > 0 && time.Now().After(d.pauseFrom) {
		time.Sleep(*p)
		*p = 0
	}
}

func (d *fakeDaemon) Read(context.Context) (DesiredState, map[string]HostState) {
	states := map[string]HostState{}
	for h, e := range d.engines {
		e.mu.Lock()
		states[h] = HostState{Report: &mangomessage.EngineState{Host: h, FencingNumber: e.highestFence}, ReadAt: time.Now().Add(time.Hour)}
		e.mu.Unlock()
	}
	d.pause(&d.pauseRead)
	return d.desired, states
}

func (d *fakeDaemon) Order(ctx context.Context, address string, order *mangomessage.Order) (*mangomessage.OrderReply, error) {
	d.pause(&d.pauseSend)
	if err := ctx.Err(); err != nil && !d.sendsAfterDeadline {
		return nil, err
	}
	return &mangomessage.OrderReply{Accepted: d.engines[address].accept(order)}, nil
}
