package mangohub

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// setUncut ends the cut between daemons and the store.
func (s *testStore) setUncut(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		delete(s.cut, name)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// lastOwnCallFailed reports whether the last own call of a daemon did not reach the store.
func (m *Mirror) lastOwnCallFailed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own == contactFailed
}

// Guards against a daemon that takes each change of hubs for a loss of the store and for its return, since its own call had
// failed in an outage that is long over. It would keep entries that are removed after that.
func TestHubChangesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestCluster(t, 1, 3)
		hubs, follower := []string{daemonName(0, 0), daemonName(0, 1)}, c.daemons[daemonName(0, 2)]
		for _, name := range append(hubs, follower.member.Name) {
			c.store.setCut(name)
		}
		c.eventually(t, "all daemons have tried the store themselves", 10*time.Second, func() bool {
			for _, d := range c.daemons {
				if d.mirror.Contact() || !d.mirror.lastOwnCallFailed() {
					return false
				}
			}
			return true
		})
		c.store.setUncut(hubs...)
		c.eventually(t, "the follower hears from a hub that reaches the store", 10*time.Second, func() bool {
			// A change ends the watches that began while nothing changed.
			c.store.change("key")
			return follower.follower.Link().Confirmed(time.Now())
		})
		time.Sleep(2*roleCheckInterval + ownFailureLifetime)
		c.store.setUncut(follower.member.Name)
		awayAt := follower.mirror.Outage().At
		is.True(!awayAt.IsZero())
		for range 3 {
			var followed *testDaemon
			c.eventually(t, "the follower has a hub", 5*time.Second, func() bool {
				followed = c.daemons[follower.follower.Link().Hub]
				return followed != nil
			})
			followed.down.Store(true)
			// A change makes the hub notice that its stream has ended.
			revision := c.store.change("key")
			c.eventually(t, "the follower has the change by another hub", 5*time.Second, func() bool {
				if !follower.mirror.Contact() {
					t.Fatal("a change of hubs was taken for a loss of the store")
				}
				link := follower.follower.Link()
				return link.Hub != "" && link.Hub != followed.member.Name && link.Confirmed(time.Now()) && follower.mirror.Revision() >= revision
			})
			followed.down.Store(false)
			is.Equal(follower.mirror.Outage().At, awayAt)
		}
	})
}
