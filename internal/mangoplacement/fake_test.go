package mangoplacement

import (
	"context"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// fakeStore keeps items and leases on the test's clock.
type fakeStore struct {
	mangostore.Store
	mu     sync.Mutex
	items  map[string]mangostore.Item
	leases map[uint64]time.Time
	ttl    map[uint64]time.Duration
	next   uint64
}

func newFake() *fakeStore {
	return &fakeStore{items: map[string]mangostore.Item{}, leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{}}
}

func (f *fakeStore) live(lease uint64) bool { return lease == 0 || time.Now().Before(f.leases[lease]) }

func (f *fakeStore) item(key string) mangostore.Item {
	if i := f.items[key]; f.live(i.LeaseID) {
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
	if f.item(item.Key).Version != item.Version || !f.live(item.LeaseID) {
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
	if !f.live(lease) {
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

// taken is an order that an engine took.
type taken struct {
	at     time.Time
	number uint64
	from   uint32
}

// fakeEngine takes orders; with checks it refuses an old number. It never holds what was ordered, so that each round
// orders again.
type fakeEngine struct {
	mu     sync.Mutex
	checks bool
	seen   uint64
	orders []taken
}

func (f *fakeEngine) take(order *mangomessage.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checks && order.GetFencingNumber() < f.seen {
		return false
	}
	f.seen = max(f.seen, order.GetFencingNumber())
	f.orders = append(f.orders, taken{at: time.Now(), number: order.GetFencingNumber(), from: order.GetFromLayer()})
	return true
}

// daemon is the sender and source of one placer; pauses stop it once, as SIGSTOP would.
type daemon struct {
	engines map[string]*fakeEngine
	desired DesiredState
	// pauseRead and pauseSend are pauses after a read and before a send; with late the send goes out all the same.
	pauseRead time.Duration
	pauseSend time.Duration
	late      bool
	after     time.Time
}

func (d *daemon) pause(p *time.Duration) {
	if *p > 0 && time.Now().After(d.after) {
		time.Sleep(*p)
		*p = 0
	}
}

func (d *daemon) Read(context.Context) (DesiredState, map[string]HostState) {
	states := map[string]HostState{}
	for h, e := range d.engines {
		e.mu.Lock()
		states[h] = HostState{Report: &mangomessage.EngineState{Host: h, FencingNumber: e.seen}, ReadAt: time.Now().Add(time.Hour)}
		e.mu.Unlock()
	}
	d.pause(&d.pauseRead)
	return d.desired, states
}

func (d *daemon) Order(ctx context.Context, address string, order *mangomessage.Order) (*mangomessage.OrderReply, error) {
	d.pause(&d.pauseSend)
	if err := ctx.Err(); err != nil && !d.late {
		return nil, err
	}
	return &mangomessage.OrderReply{Accepted: d.engines[address].take(order)}, nil
}
