package mangoverdict

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangostore"
)

// testStore is a key-value store in memory. Its readers are told of each change at once.
type testStore struct {
	items   map[string]mangostore.Item
	version uint64
	writes  int
	// away makes all calls fail.
	away    bool
	readers []*testDaemon
}

var errAway = errors.New("the store is away")

func (s *testStore) Get(_ context.Context, key string) (mangostore.Item, error) {
	if s.away {
		return mangostore.Item{}, errAway
	}
	return s.items[key], nil
}

func (s *testStore) Put(_ context.Context, it mangostore.Item) (uint64, error) {
	if s.away {
		return 0, errAway
	}
	if s.items[it.Key].Version != it.Version {
		return 0, &mangostore.Error{Op: "Put", Kind: mangostore.KindConflict}
	}
	s.version++
	s.writes++
	it.Version = s.version
	s.items[it.Key] = it
	s.tell(it.Key, false)
	return s.version, nil
}

func (s *testStore) Delete(_ context.Context, key string, version uint64) error {
	if s.away {
		return errAway
	}
	if s.items[key].Version != version {
		return &mangostore.Error{Op: "Delete", Kind: mangostore.KindConflict}
	}
	delete(s.items, key)
	s.writes++
	s.tell(key, false)
	return nil
}

func (s *testStore) tell(key string, fromCopy bool) {
	for _, d := range s.readers {
		d.keeper.HandleKey(key, string(s.items[key].Value), fromCopy)
	}
}

// testDaemon is a keeper with its tracker.
type testDaemon struct {
	tracker *mangocrash.CrashTracker
	keeper  *Keeper
	view    *mangostate.View
}

func (d *testDaemon) View() *mangostate.View { return d.view }

// testFleet is a store with daemons, which are all hubs.
type testFleet struct {
	store   *testStore
	daemons []*testDaemon
	now     time.Time
	// behind is how far the clocks by which daemons read records are behind.
	behind time.Duration
}

func newTestFleet(daemons int) *testFleet {
	f := &testFleet{store: &testStore{items: map[string]mangostore.Item{}}, now: time.Now()}
	f.start(daemons)
	return f
}

// start starts daemons in the place of all that ran before. They read the store.
func (f *testFleet) start(daemons int) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f.daemons, f.store.readers = nil, nil
	var members []mangostate.Member
	for n := range daemons {
		members = append(members, mangostate.Member{Name: fmt.Sprint("hub-", n)})
	}
	for _, m := range members {
		d := &testDaemon{
			tracker: mangocrash.New(m.Name, mangocrash.WithCoincidenceWindow(40*time.Millisecond), mangocrash.WithCondemnedExpiry(24*time.Hour)),
			view:    &mangostate.View{Synced: true, Reachable: true, Members: members},
		}
		d.keeper = New(m.Name, d.tracker, f.store, d, WithLogger(logger))
		d.keeper.now = func() time.Time { return f.now.Add(-f.behind) }
		f.daemons = append(f.daemons, d)
	}
	f.store.readers = f.daemons
	for key := range maps.Clone(f.store.items) {
		f.store.tell(key, false)
	}
}

// crash reports the crash of a replica with a request in flight to all daemons.
func (f *testFleet) crash(n int, r mangocrash.Request) {
	if len(r.Parts) > 0 {
		// No two requests with a part are alike.
		r.Fingerprint += fmt.Sprint(n)
	}
	id := mangocrash.NewGroupCrashID(fmt.Sprint("dc-", n), fmt.Sprint("replica-", n))
	for _, d := range f.daemons {
		d.tracker.ReportInFlight(id, []mangocrash.InFlight{{Request: r, SentAt: f.now.Add(-10 * time.Millisecond)}}, f.now)
	}
}

// run lets the daemons reconcile for a time.
func (f *testFleet) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(checkInterval) {
		for _, d := range f.daemons {
			d.keeper.reconcile(t.Context(), f.now)
		}
	}
}

// refusing returns the number of daemons that refuse a request.
func (f *testFleet) refusing(r mangocrash.Request) int {
	n := 0
	for _, d := range f.daemons {
		if _, refused := d.tracker.Refuse(r, f.now); refused {
			n++
		}
	}
	return n
}

// Guards against a request, or a part of prompts, that crashes replicas anew after each kill of all daemons, since what they knew of it was
// gone with them.
func TestVerdictOutlastsAllDaemons(t *testing.T) {
	whole := mangocrash.Request{Fingerprint: "request"}
	withPart := mangocrash.Request{Parts: []string{"s/shared", "s/deadly"}, Fingerprint: "one"}
	tests := []struct {
		name string
		// sent is what crashes replicas, and asked what comes after the kill.
		sent, asked mangocrash.Request
		// before is the time from the last crash to the kill.
		before time.Duration
		change func(f *testFleet)
		want   int
	}{
		{"a request", whole, whole, 5 * time.Second, nil, 3},
		{"a part of prompts", withPart, mangocrash.Request{Parts: []string{"s/shared", "s/deadly"}, Fingerprint: "two"}, 5 * time.Second, nil, 3},
		{"what shares the other parts", withPart, mangocrash.Request{Parts: []string{"s/shared"}, Fingerprint: "three"}, 5 * time.Second, nil, 0},
		{"the clocks are set back", whole, whole, 5 * time.Second, func(f *testFleet) { f.behind = 20 * time.Second }, 3},
		{"killed before all reports arrived", whole, whole, 600 * time.Millisecond, nil, 3},
		{"the first writer has no contact", whole, whole, 5 * time.Second, func(f *testFleet) { f.withoutContact(0) }, 3},
		{"two writers have no contact", whole, whole, 5 * time.Second, func(f *testFleet) { f.withoutContact(0); f.withoutContact(1) }, 3},
		{"the store is away for a while", whole, whole, 5 * time.Second, func(f *testFleet) {
			f.store.away = true
			f.now = f.now.Add(-10 * time.Millisecond)
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(3)
			if tt.change != nil {
				tt.change(f)
			}
			for n := range 2 {
				f.crash(n, tt.sent)
				f.now = f.now.Add(time.Second)
			}
			f.run(t, tt.before)
			f.start(3)
			is.Equal(f.refusing(tt.asked), tt.want)
			is.True(len(f.store.items) <= 1)
		})
	}
}

// withoutContact takes the contact to the store from the daemon that is the n-th to write the record of "request".
func (f *testFleet) withoutContact(n int) {
	key := Key("request")
	for _, d := range f.daemons {
		d.keeper.dueAt[key] = f.now.Add(-time.Duration(n)*writeTurn - writeTurn/2)
	}
	left := n
	for _, d := range f.daemons {
		if d.keeper.isTurn(key, d.view.Members, f.now) {
			d.view.Reachable = left > 0 && d.view.Reachable
			left--
		}
	}
	for _, d := range f.daemons {
		clear(d.keeper.dueAt)
	}
}

// Guards against records that cost more than a write for each crash, that daemons write in turn without end, or that stay when their
// fingerprint is cleared.
func TestRecordIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(5)
	request := mangocrash.Request{Fingerprint: "request"}
	for n := range 2 {
		f.crash(n, request)
		f.now = f.now.Add(time.Second)
	}
	f.run(t, 20*time.Second)
	// It is written when it is held, and once more when it is blocked.
	is.True(f.store.writes <= 2)
	is.Equal(len(f.store.items), 1)
	before := f.store.writes
	f.crash(2, request)
	f.run(t, 20*time.Second)
	is.Equal(f.store.writes, before+1)
	for _, d := range f.daemons {
		d.tracker.Complete("request", f.now)
	}
	f.run(t, 20*time.Second)
	is.Equal(len(f.store.items), 0)
	is.Equal(f.store.writes, before+2)
	is.Equal(f.refusing(request), 0)
}

// Guards against a verdict that is lost when the store returns from a copy that lacks it, and against one that an operator cannot remove.
func TestRecordThatIsGone(t *testing.T) {
	tests := []struct {
		name     string
		fromCopy bool
		refusing int
		items    int
	}{
		{"the store returned from a copy", true, 3, 1},
		{"an operator has removed it", false, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(3)
			request := mangocrash.Request{Fingerprint: "request"}
			for n := range 2 {
				f.crash(n, request)
				f.now = f.now.Add(time.Second)
			}
			f.run(t, 5*time.Second)
			is.Equal(len(f.store.items), 1)
			for key := range maps.Clone(f.store.items) {
				delete(f.store.items, key)
				f.store.tell(key, tt.fromCopy)
			}
			f.run(t, 5*time.Second)
			is.Equal(f.refusing(request), tt.refusing)
			is.Equal(len(f.store.items), tt.items)
		})
	}
}

// Guards against a daemon that fails, or refuses sound requests, because of a value that is no record.
func TestValuesThatAreNoRecords(t *testing.T) {
	for _, value := range []string{"x", "{}", "[]", `{"Fingerprint":""}`, `{"Crashes":[{}]}`, `{"Fingerprint":"request","Condemned":true}`, "\x00"} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(1)
			f.daemons[0].keeper.HandleKey(Key("request"), value, false)
			is.Equal(f.refusing(mangocrash.Request{Fingerprint: "request"}), 0)
			f.daemons[0].keeper.HandleKey(Key("request"), "", false)
		})
	}
}
