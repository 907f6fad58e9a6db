package mangohub

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxPropagation bounds the time from a change of the store until all daemons have it; it is the platform's least bound for a
// configuration.
const maxPropagation = 2 * time.Second

// testStore is a store in memory that counts calls. Daemons may be cut off from it.
type testStore struct {
	mu       sync.Mutex
	history  []Item
	revision uint64
	changed  chan struct{}
	cut      map[string]bool
	// compactedTo is the revision below which the history is gone, and staleBy the number of changes by which snapshots that
	// need not be fresh are behind.
	compactedTo, staleBy uint64
	watches, snapshots   int
}

func newTestStore() *testStore {
	return &testStore{changed: make(chan struct{}), cut: map[string]bool{}}
}

// change writes a key and returns the new revision.
func (s *testStore) change(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history = append(s.history, Item{Key: key, Value: []byte(fmt.Sprint(s.revision)), Revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *testStore) setCut(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[name] = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeOf is the store as one daemon reaches it.
type storeOf struct {
	*testStore
	name string
}

var errCut = &mangostate.Error{Op: "Watch", Kind: mangostate.KindStore, Err: errors.New("cut off")}

// Snapshot implements Source.
func (s storeOf) Snapshot(_ context.Context, fresh bool) ([]Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots++
	if s.cut[s.name] {
		return nil, 0, errCut
	}
	revision := s.revision
	if !fresh {
		revision -= min(s.staleBy, revision)
	}
	latest := map[string]Item{}
	for _, it := range s.history {
		if it.Revision <= revision {
			latest[it.Key] = it
		}
	}
	var items []Item
	for _, it := range latest {
		items = append(items, it)
	}
	return items, revision, nil
}

// Watch implements Source.
func (s storeOf) Watch(ctx context.Context, after uint64, wait time.Duration) ([]Item, uint64, error) {
	deadline := time.After(wait)
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		switch {
		case s.cut[s.name]:
			s.mu.Unlock()
			return nil, 0, errCut
		case after < s.compactedTo:
			s.mu.Unlock()
			return nil, 0, &mangostate.Error{Op: "Watch", Kind: mangostate.KindCompacted}
		case revision > after:
			items := append([]Item(nil), s.history[after:]...)
			s.mu.Unlock()
			return items, revision, nil
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline:
			return nil, after, nil
		case <-changed:
		}
	}
}

// testDaemon is a daemon with a mirror. seat is negative if it holds none.
type testDaemon struct {
	member   mangostate.Member
	seat     atomic.Int64
	mirror   *Mirror
	reader   *Reader
	follower *Follower
	server   *Server
	// frozen daemons send nothing and keep their connections; down ones refuse connections.
	frozen, down atomic.Bool
}

// Held implements Holder.
func (d *testDaemon) Held() (int, bool) {
	seat := int(d.seat.Load())
	return max(seat, 0), seat >= 0
}

// testCluster is daemons on one store.
type testCluster struct {
	store   *testStore
	daemons map[string]*testDaemon
	// streams counts the goroutines that serve streams.
	streams sync.WaitGroup
	mu      sync.Mutex
	members []mangostate.Member
}

// View implements State.
func (c *testCluster) View() *mangostate.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &mangostate.View{Members: c.members, Fleet: mangoreplica.NewFleet(nil)}
}

// testStream is a stream in memory.
type testStream struct {
	updates chan *mangomessage.FollowUpdate
	ctx     context.Context
	cancel  context.CancelFunc
}

// Recv implements Stream.
func (s *testStream) Recv() (*mangomessage.FollowUpdate, error) {
	select {
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	case u := <-s.updates:
		return u, nil
	}
}

// Close implements Stream.
func (s *testStream) Close() { s.cancel() }

// Follow implements Dialer; the address of a daemon is its name.
func (c *testCluster) Follow(ctx context.Context, address string, request *mangomessage.FollowRequest) (Stream, error) {
	hub := c.daemons[address]
	if hub.down.Load() {
		return nil, errors.New("refused")
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &testStream{updates: make(chan *mangomessage.FollowUpdate), ctx: ctx, cancel: cancel}
	c.streams.Go(func() {
		defer cancel()
		_ = hub.server.Serve(ctx, request, func(u *mangomessage.FollowUpdate) error {
			for hub.frozen.Load() && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			if hub.down.Load() {
				return errors.New("reset")
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case s.updates <- u:
				return nil
			}
		})
	})
	return s, nil
}

func quietLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// newTestCluster starts daemons in data centres, the first two of each as its hubs, and waits until all follow one. Tests run it with
// the clock of synctest, so that the bounds on times hold however long goroutines wait for the processor.
func newTestCluster(t *testing.T, dataCentres, daemons int) *testCluster {
	t.Helper()
	c := &testCluster{store: newTestStore(), daemons: map[string]*testDaemon{}}
	c.store.change("first")
	for dc := range dataCentres {
		for n := range daemons {
			name := daemonName(dc, n)
			d := &testDaemon{member: mangostate.Member{Name: name, DataCentre: fmt.Sprint(dc), Address: name}, mirror: NewMirror()}
			d.seat.Store(-1)
			if n < mangostate.SeatsPerDataCentre {
				d.seat.Store(int64(n))
				d.member.Seat = n
				c.members = append(c.members, d.member)
			}
			d.follower = NewFollower(d.member, c, c, d.mirror, d, WithFollowerLogger(quietLogger()))
			d.reader = NewReader(storeOf{c.store, name}, d.mirror, d, d.follower, WithReaderLogger(quietLogger()))
			d.server = NewServer(name, d.mirror, WithServerLogger(quietLogger()))
			c.daemons[name] = d
		}
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	var group sync.WaitGroup
	for _, d := range c.daemons {
		for _, run := range []func(context.Context) error{d.follower.Run, d.reader.Run, d.server.Run} {
			group.Go(func() { _ = run(ctx) })
		}
	}
	group.Go(func() { c.poll(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		c.streams.Wait()
	})
	c.eventually(t, "all daemons follow a hub", 10*time.Second, func() bool {
		for _, d := range c.daemons {
			if !d.follower.Link().Confirmed(time.Now()) && !d.follower.IsPrimary() {
				return false
			}
		}
		return true
	})
	return c
}

func daemonName(dataCentre, n int) string { return fmt.Sprintf("d%d-%02d", dataCentre, n) }

func (c *testCluster) eventually(t *testing.T, what string, limit time.Duration, f func() bool) {
	t.Helper()
	for start := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > limit {
			t.Fatalf("not within %v: %s%s", limit, what, c.describe())
		}
	}
}

// pollInterval is the time between two polls of the store's revision by one of the hubs, which tells the others.
const pollInterval = time.Second

// poll tells all hubs the revision of the store at intervals, as the poller of the first hub that reaches it does.
func (c *testCluster) poll(ctx context.Context) {
	for {
		c.store.mu.Lock()
		revision, cut := c.store.revision, map[string]bool{}
		for name := range c.store.cut {
			cut[name] = true
		}
		c.store.mu.Unlock()
		polled := false
		for name, d := range c.daemons {
			_, seated := d.Held()
			polled = polled || (seated && !cut[name] && !d.frozen.Load() && !d.down.Load())
		}
		for _, d := range c.daemons {
			if _, seated := d.Held(); seated && polled {
				d.mirror.Confirm(revision, 0)
			}
		}
		if !sleep(ctx, pollInterval) {
			return
		}
	}
}

// lagging returns the daemons that run and lack a revision. Those that are cut off from the store are left out unless cutToo is
// set: the platform's bound for a configuration does not hold for them.
func (c *testCluster) lagging(revision uint64, cutToo bool) []string {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	var names []string
	for name, d := range c.daemons {
		if d.frozen.Load() || d.down.Load() || (c.store.cut[name] && !cutToo) {
			continue
		}
		if d.mirror.Revision() < revision {
			names = append(names, name)
		}
	}
	return names
}

// describe returns the state of all daemons, for the message of a failed test.
func (c *testCluster) describe() string {
	var b strings.Builder
	now := time.Now()
	for name, d := range c.daemons {
		link := d.follower.Link()
		reached := d.mirror.Contact()
		fmt.Fprintf(&b, "\n%s: revision %d, contact %t, hub %q since %v, update %v, confirmed %t, unconfirmed since %v", name, d.mirror.Revision(), reached,
			link.Hub, now.Sub(link.Since), now.Sub(link.UpdatedAt), link.Confirmed(now), now.Sub(link.UnconfirmedAt))
	}
	return b.String()
}
