package mangohub

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxSettling bounds the time until daemons that are cut off from the store hear of a change through others.
const maxSettling = 10 * time.Second

// Guards against daemons that miss changes of the store, or get them too late, because a hub or several at once have ended,
// are frozen or have lost the store: each of them alone must not delay a change beyond the bound for a configuration.
func TestChangesReachAllDaemons(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *testCluster)
	}{
		{"no fault", func(*testCluster) {}},
		{"the primary hub freezes", func(c *testCluster) { c.daemons["d0-00"].frozen.Store(true) }},
		{"the primary hub ends", func(c *testCluster) { c.daemons["d0-00"].down.Store(true) }},
		{"the primary hub loses the store", func(c *testCluster) { c.store.setCut("d0-00") }},
		{"a hub freezes", func(c *testCluster) { c.daemons["d1-00"].frozen.Store(true) }},
		{"a hub ends", func(c *testCluster) { c.daemons["d1-00"].down.Store(true) }},
		{"both hubs of a data centre end", func(c *testCluster) {
			c.daemons["d1-00"].down.Store(true)
			c.daemons["d1-01"].down.Store(true)
		}},
		{"both hubs of a data centre freeze", func(c *testCluster) {
			c.daemons["d1-00"].frozen.Store(true)
			c.daemons["d1-01"].frozen.Store(true)
		}},
		{"all first hubs end", func(c *testCluster) {
			for dc := range 3 {
				c.daemons[daemonName(dc, 0)].down.Store(true)
			}
		}},
		{"all hubs end", func(c *testCluster) {
			for dc := range 3 {
				c.daemons[daemonName(dc, 0)].down.Store(true)
				c.daemons[daemonName(dc, 1)].down.Store(true)
			}
		}},
		{"all hubs but one lose the store", func(c *testCluster) {
			for dc := range 3 {
				c.store.setCut(daemonName(dc, 0))
				if dc < 2 {
					c.store.setCut(daemonName(dc, 1))
				}
			}
		}},
		{"the history of the store is gone", func(c *testCluster) {
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			c.store.compactedTo, c.store.staleBy = c.store.revision+1, 3
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 3, 5)
				tt.fault(c)
				// The first change may come at the same time as the fault, the second one when the daemons have settled.
				for i := range 2 {
					revision := c.store.change(fmt.Sprint("key", i))
					c.eventually(t, fmt.Sprintf("change %d reaches all that reach the store", i), maxPropagation, func() bool {
						return len(c.lagging(revision, false)) == 0
					})
					c.eventually(t, fmt.Sprintf("change %d reaches all", i), maxSettling, func() bool {
						return len(c.lagging(revision, true)) == 0
					})
				}
			})
		})
	}
}

// Guards against calls to the store whose number grows with the number of daemons.
func TestCallsDoNotGrowWithDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const changes = 15
		calls := map[int]int{}
		for _, daemons := range []int{3, 30} {
			c := newTestCluster(t, 3, daemons)
			// The daemons settle, each with its hub.
			time.Sleep(2 * settleTime)
			c.store.mu.Lock()
			before := c.store.watches + c.store.snapshots
			c.store.mu.Unlock()
			var revision uint64
			for i := range changes {
				revision = c.store.change(fmt.Sprint(i))
				time.Sleep(100 * time.Millisecond)
			}
			c.eventually(t, "all daemons have all changes", maxPropagation, func() bool { return len(c.lagging(revision, false)) == 0 })
			c.store.mu.Lock()
			calls[daemons] = c.store.watches + c.store.snapshots - before
			c.store.mu.Unlock()
		}
		// One daemon reads, with at most one call for each change and one that waits.
		for daemons, n := range calls {
			if n > changes+1 {
				t.Errorf("%d calls for %d changes with %d daemons", n, changes, 3*daemons)
			}
		}
	})
}

// Guards against two daemons that each take the other for the source of the store's changes, and against hubs that wait for
// one that has no changes.
func TestReadsStore(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	healthy := Link{Hub: "h", Since: ago(5000), UpdatedAt: ago(100), ConfirmedAt: ago(500)}
	unconfirmed := Link{Hub: "h", Since: ago(5000), UpdatedAt: ago(100), ConfirmedAt: ago(3000), UnconfirmedAt: ago(1100)}
	silent := Link{Hub: "h", Since: ago(5000), UpdatedAt: ago(1100), ConfirmedAt: ago(1200)}
	tests := []struct {
		name string
		duty duty
		want bool
	}{
		{"the primary hub", duty{loaded: true, seated: true, primary: true, link: healthy}, true},
		{"a hub that hears of changes", duty{loaded: true, seated: true, link: healthy}, false},
		{"a hub whose hub has lost the store", duty{loaded: true, seated: true, link: unconfirmed}, true},
		{"a hub whose hub is silent", duty{loaded: true, seated: true, link: silent}, true},
		{"a hub whose hub lags behind", duty{loaded: true, seated: true, link: healthy, deaf: true}, true},
		{"a follower", duty{loaded: true, link: healthy}, false},
		{"a follower just after its hub lost the store", duty{loaded: true, link: unconfirmed, unconfirmed: 1200 * time.Millisecond}, false},
		{"a follower some time after that", duty{loaded: true, link: unconfirmed, unconfirmed: time.Second}, true},
		{"a daemon just after its hub has ended", duty{loaded: true, link: Link{Since: ago(100)}, grace: 300 * time.Millisecond}, false},
		{"a daemon without a hub", duty{loaded: true, link: Link{Since: ago(400)}, grace: 300 * time.Millisecond}, true},
		{"a daemon that has just started", duty{link: Link{Since: ago(1)}, grace: 300 * time.Millisecond}, true},
		{"a daemon that gets everything from its hub", duty{link: healthy}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(readsStore(tt.duty, now), tt.want) })
	}
}

// Guards against daemons that follow a hub of another data centre while their own has one, against hubs that follow each
// other, and against announcements that take another way than within a data centre.
func TestHubsToFollow(t *testing.T) {
	hubs := []mangostate.Member{
		{Name: "a0", DataCentre: "a", Seat: 0},
		{Name: "a1", DataCentre: "a", Seat: 1},
		{Name: "b0", DataCentre: "b", Seat: 0},
		{Name: "b1", DataCentre: "b", Seat: 1},
	}
	tests := []struct {
		name   string
		self   mangostate.Member
		seat   int
		seated bool
		// want is the first hubs, with a mark for those of which only the changes of the store are wanted.
		want []string
	}{
		{"a daemon without a seat", mangostate.Member{Name: "b7", DataCentre: "b"}, 0, false, []string{"b0", "b1"}},
		{"a daemon of a data centre without hubs", mangostate.Member{Name: "c7", DataCentre: "c"}, 0, false, []string{}},
		{"the second hub", hubs[3], 1, true, []string{"b0", "a0 store"}},
		{"the first hub", hubs[2], 0, true, []string{"a0 store"}},
		{"the primary hub, while it has lost the store", hubs[0], 0, true, []string{"a1 store"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := []string{}
			list := hubsToFollow(tt.self, tt.seat, tt.seated, hubs)
			for _, c := range list[:len(tt.want)] {
				name := c.Name
				if c.storeOnly {
					name += " store"
				}
				got = append(got, name)
			}
			is.Equal(got, tt.want)
			for _, c := range list {
				is.True(c.Name != tt.self.Name)
			}
			if len(tt.want) == 0 {
				is.Equal(len(list), len(hubs))
			}
		})
	}
}

// Guards against a mirror that loses changes, repeats them or gives them in another order, and against a history without
// bounds.
func TestMirrorSince(t *testing.T) {
	item := func(revision uint64, size int) Item {
		return Item{Key: fmt.Sprint("k", revision), Value: make([]byte, size), Revision: revision}
	}
	tests := []struct {
		name string
		size int
		// last is the last revision; changes begin at 11, after a snapshot at 10.
		last, after uint64
		complete    bool
		want        int
	}{
		{"nothing new", 10, 20, 20, true, 0},
		{"the last three", 10, 20, 17, true, 3},
		{"all changes", 10, 20, 10, true, 10},
		{"before the snapshot", 10, 20, 9, false, 0},
		{"a long history is cut", 10, 10 + 2*maxHistoryItems, 10, false, 0},
		{"a large history is cut", 1 << 20, 20, 10, false, 0},
		{"the end of a long history", 10, 10 + 2*maxHistoryItems, 2 * maxHistoryItems, true, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMirror()
			m.Load([]Item{item(3, 1)}, 10)
			for r := uint64(11); r <= tt.last; r++ {
				m.Append([]Item{item(r, tt.size)}, r)
				m.Append([]Item{item(r, tt.size)}, r)
			}
			items, revision, complete := m.Since(tt.after)
			is.Equal(complete, tt.complete)
			is.Equal(revision, tt.last)
			is.Equal(len(items), tt.want)
			for i, it := range items {
				is.Equal(it.Revision, tt.after+uint64(i)+1)
			}
			is.True(len(m.history) <= maxHistoryItems && m.historyBytes <= maxHistoryBytes)
		})
	}
}

// Guards against a follower on a slow link that gets every version of a configuration of which only the last one counts.
func TestLastOfEachKey(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	m.Load(nil, 1)
	for r, key := range []string{"configuration", "replica", "configuration", "other", "configuration"} {
		m.Append([]Item{{Key: key, Revision: uint64(r + 2)}}, uint64(r+2))
	}
	items, revision, complete := m.Since(1)
	is.True(complete)
	is.Equal(revision, uint64(6))
	var revisions []uint64
	for _, it := range items {
		revisions = append(revisions, it.Revision)
	}
	is.Equal(revisions, []uint64{3, 5, 6})
}

// Guards against values that a hub changes by packing them, and against followers that take the memory of the host for one.
func TestPackedItems(t *testing.T) {
	tests := []struct {
		name  string
		value []byte
		// maxBytes bounds the message form of the value.
		maxBytes int
	}{
		{"empty", nil, 0},
		{"small", []byte("value"), 5},
		{"configuration", bytes.Repeat([]byte(`{"name":"route","service":"s"},`), 2000), 2000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sent := encodeItems([]Item{Item{Key: "k", Value: tt.value, Revision: 7}.withPack()})
			is.True(len(sent[0].GetValue())+len(sent[0].GetPacked()) <= tt.maxBytes)
			got := decodeItems(sent)
			is.NoErr(got[0].Err)
			is.True(bytes.Equal(got[0].Value, tt.value))
			// A hub that follows another one sends on what it got.
			is.Equal(encodeItems(got)[0].GetPacked(), sent[0].GetPacked())
		})
	}
	is := is.New(t)
	large := decodeItems([]*mangomessage.StoredItem{{Key: "k", Packed: deflate(make([]byte, 2*maxUnpackedBytes))}})
	is.True(large[0].Err != nil && len(large[0].Value) == 0)
	broken := decodeItems([]*mangomessage.StoredItem{{Key: "k", Packed: []byte("no deflate data")}})
	is.True(broken[0].Err != nil)
}

// Guards against entries that are dropped because a daemon does not learn that the store was away when they lapsed.
func TestMirrorTellsOfLoss(t *testing.T) {
	back := time.Now().Add(-time.Second)
	tests := []struct {
		name   string
		change func(m *Mirror)
		// want is what the next watches return: a loss, an answer, or nothing new.
		want []string
	}{
		{"in contact", func(m *Mirror) { m.SetOwnContact(true, time.Now()) }, []string{"nothing"}},
		{"lost", func(m *Mirror) { m.SetOwnContact(false, time.Now()) }, []string{"loss", "loss"}},
		{"lost and back", func(m *Mirror) {
			m.SetOwnContact(false, time.Now())
			m.SetOwnContact(true, time.Now())
		}, []string{"loss", "answer", "nothing"}},
		{"the hub was without the store", func(m *Mirror) { m.SetHubContact(HubContact{Reached: true, Outage: mangostate.Outage{At: back}}) }, []string{"loss", "answer", "nothing"}},
		{"the hub has lost it, this daemon has not", func(m *Mirror) {
			m.SetOwnContact(true, time.Now())
			m.SetHubContact(HubContact{})
		}, []string{"nothing"}},
		{"this daemon has lost it, the hub has not", func(m *Mirror) {
			m.SetHubContact(HubContact{Reached: true})
			m.SetOwnContact(false, time.Now())
		}, []string{"nothing"}},
		{"this daemon has lost it, and the hub", func(m *Mirror) {
			m.SetHubContact(HubContact{Reached: true})
			m.SetOwnContact(false, time.Now())
			m.EndHubContact()
		}, []string{"loss", "loss"}},
		{"the hub says so again", func(m *Mirror) {
			m.SetHubContact(HubContact{Reached: true, Outage: mangostate.Outage{At: back}})
			m.SetHubContact(HubContact{Reached: true, Outage: mangostate.Outage{At: back.Add(20 * time.Millisecond)}})
		}, []string{"loss", "answer", "nothing"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := NewMirror()
				m.Load(nil, 1)
				tt.change(m)
				for _, want := range tt.want {
					start := time.Now()
					_, _, err := m.Watch(t.Context(), 1, 30*time.Millisecond)
					got := "nothing"
					switch {
					case err != nil:
						got = "loss"
					case time.Since(start) < 30*time.Millisecond:
						got = "answer"
					}
					is.Equal(got, want)
				}
			})
		})
	}
}

// Guards against changes that a daemon never gets because the contact to the store comes and goes faster than it asks.
func TestChangesPassWhileContactFlaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMirror()
		m.Load(nil, 1)
		after := uint64(1)
		for revision := uint64(2); revision < 10; revision++ {
			m.Append([]Item{{Key: "k", Revision: revision}}, revision)
			// Each change takes two calls at most: one that tells of a loss, and one that brings it.
			for call := 0; after < revision; call++ {
				is.True(call < 2)
				m.SetOwnContact(false, time.Now())
				m.SetOwnContact(true, time.Now())
				m.SetOwnContact(false, time.Now())
				if _, next, err := m.Watch(t.Context(), after, time.Second); err == nil {
					after = next
				}
			}
		}
	})
}

// Guards against a load of the fleet that counts daemons twice or keeps those that have ended.
func TestLoadTable(t *testing.T) {
	now := time.Unix(1000, 0)
	one := map[string]mangoreplica.Load{"r": {Requests: 1, Tokens: 100}}
	tests := []struct {
		name         string
		record       func(t *LoadTable)
		group, total int
		groupDaemons int
		totalDaemons int
	}{
		{"nothing", func(*LoadTable) {}, 0, 0, 0, 0},
		{"members", func(t *LoadTable) { t.RecordMember("a", one, now); t.RecordMember("b", one, now) }, 2, 2, 2, 2},
		{"a member again", func(t *LoadTable) { t.RecordMember("a", one, now); t.RecordMember("a", one, now) }, 1, 1, 1, 1},
		{"another group", func(t *LoadTable) { t.RecordMember("a", one, now); t.RecordGroup("h", one, 30, now) }, 1, 2, 1, 31},
		{"a hub that has become a follower", func(t *LoadTable) { t.RecordGroup("h", one, 30, now); t.RecordMember("h", one, now) }, 1, 1, 1, 1},
		{"a daemon that has ended", func(t *LoadTable) { t.RecordMember("a", one, now.Add(-2*time.Second)) }, 0, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := NewLoadTable()
			tt.record(table)
			group, groupDaemons := table.Group(now)
			total, totalDaemons := table.Total(now)
			is.Equal(group["r"].Requests, tt.group)
			is.Equal(total["r"].Requests, tt.total)
			is.Equal(total["r"].Tokens, float64(100*tt.total))
			is.Equal(groupDaemons, tt.groupDaemons)
			is.Equal(totalDaemons, tt.totalDaemons)
		})
	}
}

// Guards against a number of calls to the store that grows with daemons times changes, and against long pauses of a hub.
func TestBatchPause(t *testing.T) {
	tests := []struct {
		name  string
		seat  int64
		since time.Duration
		want  time.Duration
	}{
		{"a hub, the first change of a burst", 0, burstGap, minBatchPause},
		{"a hub in a burst", 0, 100 * time.Millisecond, burstBatchPause},
		{"a daemon without a seat", -1, burstGap, unseatedBatchPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := &testDaemon{}
			d.seat.Store(tt.seat)
			is.Equal((&Reader{seats: d}).batchPause(tt.since), tt.want)
			is.True(tt.want < maxPropagation/2)
		})
	}
}

// Guards against a snapshot that is too large for one message and so never reaches a follower.
func TestLargeSnapshotComesInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestCluster(t, 1, 2)
		hub := c.daemons["d0-00"]
		var items []Item
		for i := range 9 {
			items = append(items, Item{Key: fmt.Sprint("large", i), Value: make([]byte, 700<<10), Revision: uint64(100 + i)})
		}
		hub.mirror.Load(items, 200)
		follower := NewMirror()
		f := NewFollower(mangostate.Member{Name: "new", DataCentre: "0"}, c, c, follower, c.daemons["d0-01"], WithFollowerLogger(quietLogger()))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		c.eventually(t, "the follower has everything", 5*time.Second, func() bool { return follower.Revision() == 200 })
		all, _ := follower.All()
		is.Equal(len(all), len(items))
		cancel()
		is.Equal(<-ended, context.Canceled)
	})
}
