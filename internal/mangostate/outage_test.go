package mangostate

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Guards against missing a configuration for the whole wait of a watch. The watch fell silent in an outage of the store, and
// the revisions that peers reported after it were ignored, because this daemon still took the store for unreachable.
func TestPeerRevisionWhileStoreIsUnreachable(t *testing.T) {
	is := is.New(t)
	feed := &scriptedFeed{snapshots: make(chan []Change, 1), watches: make(chan uint64, 8)}
	feed.snapshots <- []Change{{Table: mangoroute.New(1, nil, nil, nil, false, mangoroute.Limits{})}}
	c := New(feed, mangoreplica.NewHealthTracker(), WithLogger(discardLogger()))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	is.Equal(<-feed.watches, uint64(1))
	c.ReportReachable(false)
	for c.View().Reachable {
		time.Sleep(time.Millisecond)
	}
	c.ReportRevision(5)
	select {
	case after := <-feed.watches:
		is.Equal(after, uint64(1))
	case <-time.After(5 * time.Second):
		t.Fatal("the watch was not restarted")
	}
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
}

// countingStore answers every poll of its revision and counts the polls.
type countingStore struct{ polls atomic.Int64 }

func (s *countingStore) Revision(context.Context) (uint64, error) {
	s.polls.Add(1)
	return 1, nil
}

// Guards against a daemon that takes the store for unreachable until its watch ends: it never polled the store again,
// because its peers kept telling it the revision.
func TestPollerPollsWhileStoreIsUnreachable(t *testing.T) {
	tests := []struct {
		name string
		lost bool
		// want says whether the poller must poll by itself.
		want bool
	}{
		{"the store is reachable", false, false},
		{"the store was unreachable", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				feed := &scriptedFeed{snapshots: make(chan []Change, 1), watches: make(chan uint64, 8)}
				feed.snapshots <- nil
				c := New(feed, mangoreplica.NewHealthTracker(), WithLogger(discardLogger()))
				store := &countingStore{}
				p := NewPoller(c, store, NewContact(), func(uint64) {})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 2)
				go func() { ended <- c.Run(ctx) }()
				go func() { ended <- p.Run(ctx) }()
				<-feed.watches
				if tt.lost {
					c.ReportReachable(false)
					for c.View().Reachable {
						time.Sleep(time.Millisecond)
					}
				}
				// Revisions of peers arrive more often than the poller would poll.
				until := time.Now().Add(minPollDelay + pollJitter + time.Second)
				for time.Now().Before(until) && (!tt.want || store.polls.Load() == 0) {
					p.RecordPeerRevision(1)
					time.Sleep(minPollDelay / 10)
				}
				is.Equal(store.polls.Load() > 0, tt.want)
				cancel()
				is.True(errors.Is(<-ended, context.Canceled))
				is.True(errors.Is(<-ended, context.Canceled))
			})
		})
	}
}
