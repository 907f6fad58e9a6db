package mangostate

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Guards against a configuration that is missed for the whole wait of a watch: the watch went silent with the store, and
// the revisions that other daemons told after its return were ignored, because this daemon still took it for lost.
func TestRevisionToldWhileStoreIsLost(t *testing.T) {
	is := is.New(t)
	feed := &scriptedFeed{snapshots: make(chan []Change, 1), watches: make(chan uint64, 8)}
	feed.snapshots <- []Change{{Table: mangoroute.New(1, nil, nil, nil, false, mangoroute.Limits{})}}
	c := New(feed, mangoreplica.NewHealthTracker(), WithLogger(quiet()))
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
		t.Fatal("the watch was not started again")
	}
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
}

// countingStore answers all questions for its revision and counts them.
type countingStore struct{ asked atomic.Int64 }

func (s *countingStore) Revision(context.Context) (uint64, error) {
	s.asked.Add(1)
	return 1, nil
}

// Guards against a daemon that never asks the store again after losing it, because other daemons keep telling it the
// revision: it takes the store for lost until its watch ends.
func TestPollerAsksWhileStoreIsLost(t *testing.T) {
	tests := []struct {
		name string
		lost bool
		want bool
	}{
		{"the store is well", false, false},
		{"the store was lost", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			feed := &scriptedFeed{snapshots: make(chan []Change, 1), watches: make(chan uint64, 8)}
			feed.snapshots <- nil
			c := New(feed, mangoreplica.NewHealthTracker(), WithLogger(quiet()))
			store := &countingStore{}
			p := NewPoller(c, store, func(uint64) {})
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
			// Revisions arrive more often than the poller asks.
			until := time.Now().Add(pollAfter + pollSpread + time.Second)
			for time.Now().Before(until) && (!tt.want || store.asked.Load() == 0) {
				p.RecordPeerRevision(1)
				time.Sleep(pollAfter / 10)
			}
			is.Equal(store.asked.Load() > 0, tt.want)
			cancel()
			is.True(errors.Is(<-ended, context.Canceled))
			is.True(errors.Is(<-ended, context.Canceled))
		})
	}
}
