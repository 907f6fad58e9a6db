package mangodispatch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoledger"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

type fakeStore struct {
	mangostore.Store
	mu    sync.Mutex
	items map[string]mangostore.Item
	down  bool
	// readable lets reads through while the store is down.
	readable bool
}

// set gives all records a state.
func (f *fakeStore) set(tb testing.TB, state string) {
	tb.Helper()
	for k, item := range f.items {
		r := &mangomessage.Record{}
		if err := proto.Unmarshal(item.Value, r); err != nil {
			tb.Fatal(err)
		}
		r.State = state
		item.Value, _ = proto.Marshal(r)
		f.items[k] = item
	}
}

func (f *fakeStore) err(op string) error {
	if f.down {
		return &mangostore.Error{Op: op, Kind: mangostore.KindUnavailable}
	}
	return nil
}

func (f *fakeStore) Grant(context.Context, time.Duration) (uint64, error) { return 1, f.err("Grant") }

func (f *fakeStore) Get(_ context.Context, key string) (mangostore.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readable {
		return f.items[key], nil
	}
	return f.items[key], f.err("Get")
}

func (f *fakeStore) Put(_ context.Context, item mangostore.Item) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items[item.Key].Version != item.Version {
		return 0, &mangostore.Error{Op: "Put", Kind: mangostore.KindConflict}
	}
	if err := f.err("Put"); err != nil {
		return 0, err
	}
	item.Version++
	f.items[item.Key] = item
	return item.Version, nil
}

// fakeService fails with the kinds in turn and then answers after a delay.
type fakeService struct {
	kinds []mangoupstream.Kind
	delay time.Duration
	sent  []string
	ran   int
}

func (f *fakeService) Call(_ context.Context, address string, r mangoupstream.Request) (mangoupstream.Answer, error) {
	f.sent = append(f.sent, address)
	time.Sleep(f.delay)
	if len(f.kinds) > 0 {
		k := f.kinds[0]
		f.kinds = f.kinds[1:]
		if k == mangoupstream.KindLost {
			f.ran++
		}
		return mangoupstream.Answer{}, &mangoupstream.Error{Op: "Call", Kind: k}
	}
	f.ran++
	return mangoupstream.Answer{Status: 201, ContentType: "text/plain", Body: r.Body}, nil
}

type fixed []Replica

func (f fixed) Usable(*mangomessage.Profile) []Replica { return f }

// asker asks another daemon's ledger, or nobody.
type asker struct{ owner *mangoledger.Ledger }

func (a asker) QueryStatus(_ context.Context, _ string, r *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	if a.owner == nil {
		return nil, errors.New("unreachable")
	}
	return a.owner.Lookup(r.GetCustomer(), r.GetKey(), r.GetAttempt()), nil
}

var replicas = fixed{{Host: "x", Address: "x"}, {Host: "y", Address: "y"}, {Host: "z", Address: "z"}}

func call(once bool, key string) Call {
	return Call{
		ID: "1", Customer: "c", Profile: &mangomessage.Profile{Name: "p", NonIdempotent: once, DeadlineMs: 10000},
		Request: mangoupstream.Request{Method: "POST", Path: "/book", Body: []byte("b"), IdempotencyKey: key},
	}
}

func outcome(err error) mangocall.Outcome {
	var e *mangocall.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return ""
}

// Guards against a second execution, a NotRun for a call that ran, and a retry on the replica that failed.
func TestOutcomes(t *testing.T) {
	const notSent, refused, lost = mangoupstream.KindNotSent, mangoupstream.KindRefused, mangoupstream.KindLost
	tests := []struct {
		name    string
		once    bool
		key     string
		down    bool
		kinds   []mangoupstream.Kind
		outcome mangocall.Outcome
		sent    int
		resend  mangocall.Outcome
		ran     int
	}{
		{"no key", true, "", false, nil, mangocall.Rejected, 0, mangocall.Rejected, 0},
		{"answer is replayed", true, "k", false, nil, "", 1, "", 1},
		{"store down", true, "k", true, nil, mangocall.Unknown, 0, mangocall.Unknown, 0},
		{"not sent, then another replica", true, "k", false, []mangoupstream.Kind{notSent, refused}, "", 3, "", 1},
		{"all refuse", true, "k", false, []mangoupstream.Kind{refused, refused, refused}, mangocall.NotRun, 3, "", 1},
		{"lost", true, "k", false, []mangoupstream.Kind{lost}, mangocall.Unknown, 1, mangocall.Unknown, 1},
		{"idempotent lost, then answer", false, "", false, []mangoupstream.Kind{lost, lost}, "", 3, "", 4},
		{"idempotent all lost", false, "", false, []mangoupstream.Kind{lost, notSent, lost}, mangocall.Unknown, 3, "", 3},
		{"idempotent none sent", false, "", false, []mangoupstream.Kind{notSent, notSent, notSent}, mangocall.NotRun, 3, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{items: map[string]mangostore.Item{}, down: tt.down}
				service := &fakeService{kinds: tt.kinds}
				d := New(service, NewBalancer(replicas), mangoledger.New(store, "a", "a"), asker{})
				_, err := d.Run(t.Context(), call(tt.once, tt.key))
				is.Equal(outcome(err), tt.outcome)
				is.Equal(len(service.sent), tt.sent)
				seen := map[string]bool{}
				for _, a := range service.sent {
					is.True(!seen[a])
					seen[a] = true
				}
				_, err = d.Run(t.Context(), call(tt.once, tt.key))
				is.Equal(outcome(err), tt.resend)
				is.Equal(service.ran, tt.ran)
			})
		})
	}
}

// Guards against NotRun for a key that may have run elsewhere, and against Unknown where the caller excludes that.
func TestFirstSubmission(t *testing.T) {
	tests := []struct {
		name    string
		first   bool
		stored  string
		unread  bool
		outcome mangocall.Outcome
	}{
		{"first, unreadable", true, "", true, mangocall.NotRun},
		{"resend, unreadable", false, "", true, mangocall.Unknown},
		{"first, absent", true, "", false, mangocall.NotRun},
		{"resend, absent", false, "", false, mangocall.Unknown},
		{"first, given up by another", true, mangoledger.StateNotRun, false, mangocall.Unknown},
		{"resend, done", false, mangoledger.StateDone, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{items: map[string]mangostore.Item{}}
			c := call(true, "k")
			c.FirstSubmission = tt.first
			if tt.stored != "" {
				before := mangoledger.New(store, "b", "b")
				_, err := before.Begin(t.Context(), c.Customer, "k", Digest(c.Request))
				is.NoErr(err)
				store.set(t, tt.stored)
			}
			store.down, store.readable = true, !tt.unread
			d := New(&fakeService{}, NewBalancer(replicas), mangoledger.New(store, "a", "a"), asker{})
			_, err := d.Run(t.Context(), c)
			is.Equal(outcome(err), tt.outcome)
		})
	}
}

// Guards against a second execution, or an answer withheld, when a resend reaches another daemon while the first one
// runs the call, has it done, gave it up or is gone.
func TestResendElsewhere(t *testing.T) {
	tests := []struct {
		name    string
		kinds   []mangoupstream.Kind
		delay   time.Duration
		gone    bool
		outcome mangocall.Outcome
		ran     int
	}{
		{"running", nil, time.Second, false, "", 1},
		{"done", nil, 0, false, "", 1},
		{"running past the deadline", nil, time.Minute, false, mangocall.Unknown, 1},
		{"given up", []mangoupstream.Kind{mangoupstream.KindRefused}, 0, false, "", 1},
		{"given up while it waits", []mangoupstream.Kind{mangoupstream.KindRefused}, time.Second, false, mangocall.NotRun, 0},
		{"lost", []mangoupstream.Kind{mangoupstream.KindLost}, 0, false, mangocall.Unknown, 1},
		{"owner gone", nil, 0, true, mangocall.Unknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{items: map[string]mangostore.Item{}}
				service := &fakeService{kinds: tt.kinds, delay: tt.delay}
				owner := mangoledger.New(store, "a", "a")
				first := New(service, NewBalancer(replicas[:1]), owner, asker{})
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_, _ = first.Run(context.Background(), call(true, "k"))
				}()
				synctest.Wait()
				ask := asker{owner}
				if tt.gone {
					ask = asker{}
				}
				second := New(service, NewBalancer(replicas), mangoledger.New(store, "b", "b"), ask)
				answer, err := second.Run(t.Context(), call(true, "k"))
				is.Equal(outcome(err), tt.outcome)
				if err == nil {
					is.Equal(string(answer.Body), "b")
					is.Equal(answer.Status, 201)
				}
				<-ended
				is.Equal(service.ran, tt.ran)
			})
		})
	}
}

// Guards against retries that multiply the load of a fleet that fails as a whole.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	service := &fakeService{}
	for range 400 {
		service.kinds = append(service.kinds, mangoupstream.KindNotSent)
	}
	d := New(service, NewBalancer(replicas), nil, asker{})
	for range 100 {
		_, err := d.Run(t.Context(), call(false, ""))
		is.Equal(outcome(err), mangocall.NotRun)
	}
	is.Equal(len(service.sent), 100+profileReserve)
}

// Guards against a pick of a loaded, excluded or far replica, and against counts that stay after Release.
func TestBalancer(t *testing.T) {
	is := is.New(t)
	b := NewBalancer(fixed{{Host: "x", PeerInFlight: 9}, {Host: "y"}, {Host: "far", Remote: true}})
	for range 9 {
		p, ok := b.Pick(nil, nil)
		is.True(ok)
		is.Equal(p.Host, "y")
		defer p.Release()
	}
	p, ok := b.Pick(nil, map[string]bool{"y": true, "x": true})
	is.True(ok)
	is.Equal(p.Host, "far")
	p.Release()
	p.Release()
	is.Equal(b.InFlight(), map[string]int{"y": 9})
	_, ok = b.Pick(nil, map[string]bool{"y": true, "x": true, "far": true})
	is.True(!ok)
}
