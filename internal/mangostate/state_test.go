package mangostate

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// discardLogger returns a logger that discards its output.
func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// at returns the time some seconds after the start of a test.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func replica(id string, from, to int) *mangoreplica.Replica {
	return &mangoreplica.Replica{ID: id, Service: "s", Address: "10.0.0.1:1", DataCentre: "a", Layers: mangoreplica.LayerRange{From: from, To: to}}
}

// addReplicas gives the state a snapshot with replicas that hold layers 0 to 12.
func addReplicas(s *state, ids ...string) {
	a := answer{snapshot: true, revision: 1}
	for _, id := range ids {
		a.changes = append(a.changes, Change{Replica: replica(id, 0, 12)})
	}
	s.applyAnswer(a, at(0))
}

// Guards against dropping replicas whose entries lapsed during an outage of the store, and against keeping replicas whose
// entries did not come back after it.
func TestReplicaEntryLapses(t *testing.T) {
	tests := []struct {
		name string
		// lost and returned are the times at which the contact to the store ends and is made again; 0 means never. away is when the store was
		// last known to be away, 0 if it never was, and onlyLocal says that other data centres had it.
		lost, returned, away float64
		onlyLocal            bool
		// gone and back are the times at which the entry is removed and renewed; back is 0 if it is not.
		gone  float64
		back  float64
		check float64
		want  bool
	}{
		{name: "removed while the store is reachable", gone: 5, check: 5, want: false},
		{name: "removed while the store is unreachable", lost: 1, gone: 2, check: 4, want: true},
		{name: "removed just after the outage", lost: 1, returned: 4, away: 4, gone: 4.1, check: 5, want: true},
		{name: "still missing after the grace time", lost: 1, returned: 4, away: 4, gone: 4.1, check: 7, want: false},
		{name: "renewed after the outage", lost: 1, returned: 4, away: 4, gone: 4.1, back: 5, check: 7, want: true},
		{name: "removed long after the outage", lost: 1, returned: 2, away: 2, gone: 9, check: 9, want: false},
		{name: "contact long after the store was away", lost: 1, returned: 9, away: 5, gone: 9.1, check: 9.1, want: false},
		{name: "contact soon after the store was away", lost: 1, returned: 6, away: 5, gone: 6.1, check: 6.9, want: true},
		{name: "the same, a grace time after the store was away", lost: 1, returned: 6, away: 5, gone: 6.1, check: 7.1, want: false},
		{name: "only the contact was away", lost: 1, returned: 2, gone: 2.1, check: 2.1, want: false},
		{name: "the store was away from another data centre than the replica's", lost: 1, returned: 6, away: 5, onlyLocal: true, gone: 6.1, check: 6.1, want: false},
		{name: "contact lost again while the entry is missing", lost: 6, returned: 6.5, away: 5, gone: 5.5, check: 7.1, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(discardLogger(), 2*time.Second)
			s.dataCentre = "b"
			s.outage = func() Outage {
				if tt.away == 0 {
					return Outage{}
				}
				return Outage{At: at(tt.away), OnlyLocal: tt.onlyLocal}
			}
			addReplicas(&s, "r")
			remove := func() { s.applyAnswer(answer{changes: []Change{{RemovedReplica: "r"}}}, at(tt.gone)) }
			if tt.lost > tt.gone {
				remove()
			}
			if tt.lost > 0 {
				s.setReachable(false, at(tt.lost))
			}
			if tt.returned > 0 {
				s.setReachable(true, at(tt.returned))
			}
			if tt.lost <= tt.gone {
				remove()
			}
			if tt.back > 0 {
				s.applyAnswer(answer{changes: []Change{{Replica: replica("r", 0, 12)}}}, at(tt.back))
			}
			s.expire(at(tt.check))
			is.Equal(s.view().Fleet.ByID("r") != nil, tt.want)
		})
	}
}

// Guards against a daemon that returns to an older configuration after a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newState(discardLogger(), time.Second)
	for _, v := range []uint64{3, 9, 4, 9, 12, 1} {
		s.applyAnswer(answer{changes: []Change{{Table: mangoroute.New(v, nil, nil, nil, false, mangoroute.Limits{})}}}, at(0))
	}
	is.Equal(s.view().Table.Version(), uint64(12))
}

// Guards against sending requests to a draining replica again, because a late entry of the same start says that it is ready.
func TestDrainingIsKeptUntilRestart(t *testing.T) {
	is := is.New(t)
	s := newState(discardLogger(), time.Second)
	addReplicas(&s, "r")
	leaving := replica("r", 0, 12)
	leaving.Draining = true
	s.applyAnswer(answer{changes: []Change{{Replica: leaving}}}, at(1))
	s.applyAnswer(answer{changes: []Change{{Replica: replica("r", 0, 12)}}}, at(2))
	is.True(s.view().Fleet.ByID("r").Draining)
	again := replica("r", 0, 0)
	again.Born = 7
	s.applyAnswer(answer{changes: []Change{{Replica: again}}}, at(3))
	is.True(!s.view().Fleet.ByID("r").Draining)
}

// Guards against a layer report that is never dropped: a replica loaded more layers and gave them up again between two
// heartbeats, so its entry never changed and its data centre got no request for half a minute.
func TestLayerReportExpires(t *testing.T) {
	tests := []struct {
		name  string
		apply func(s *state)
		check float64
		want  int
	}{
		{"counts at first", func(*state) {}, 1, 13},
		{"the entry should have changed by now", func(*state) {}, 6, 12},
		{"the replica reports the layers of its entry", func(s *state) {
			s.applyLayerReport(mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: "r"}, Layers: mangoreplica.LayerRange{To: 12}}, at(0.5))
		}, 1, 12},
		{"the entry changes", func(s *state) {
			s.applyAnswer(answer{changes: []Change{{Replica: replica("r", 0, 20)}}}, at(0.5))
		}, 1, 20},
		{"the store is unreachable", func(s *state) { s.setReachable(false, at(0.5)) }, 6, 13},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(discardLogger(), time.Second)
			addReplicas(&s, "r")
			s.applyLayerReport(mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: "r"}, Layers: mangoreplica.LayerRange{To: 13}}, at(0))
			tt.apply(&s)
			s.expire(at(tt.check))
			is.Equal(s.view().Fleet.ByID("r").Layers.To, tt.want)
		})
	}
}

// scriptedFeed answers snapshots from a channel. Its watches send their revision to a channel and wait until they are
// cancelled; from revision 2 on they fail with KindCompacted.
type scriptedFeed struct {
	snapshots chan []Change
	revision  uint64
	watches   chan uint64
}

func (f *scriptedFeed) Snapshot(ctx context.Context) ([]Change, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case c := <-f.snapshots:
		f.revision++
		return c, f.revision, nil
	}
}

func (f *scriptedFeed) Watch(ctx context.Context, after uint64, _ time.Duration) ([]Change, uint64, error) {
	f.watches <- after
	if after >= 2 {
		return nil, 0, &Error{Op: "Watch", Kind: KindCompacted, Err: errors.New("gone")}
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a watch that waits on a dead connection while the configuration changes: a later revision from another call
// must restart it.
func TestSilentWatchIsRestarted(t *testing.T) {
	is := is.New(t)
	feed := &scriptedFeed{snapshots: make(chan []Change, 1), watches: make(chan uint64, 8)}
	feed.snapshots <- []Change{{Table: mangoroute.New(1, nil, nil, nil, false, mangoroute.Limits{})}}
	c := New(feed, mangoreplica.NewHealthTracker(), WithLogger(discardLogger()))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	is.Equal(<-feed.watches, uint64(1))
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

// Guards against sending requests for layers that a replica has just been ordered to give up. Also guards against a replica
// that stays marked as moving, or without layers that it still holds.
func TestOrderRemovesLayers(t *testing.T) {
	r := func(from, to int) mangoreplica.LayerRange { return mangoreplica.LayerRange{From: from, To: to} }
	tests := []struct {
		name    string
		ordered mangoreplica.LayerRange
		apply   func(s *state)
		check   float64
		want    mangoreplica.LayerRange
		moving  bool
	}{
		{"all layers change", r(20, 30), func(*state) {}, 0.5, r(0, 0), true},
		{"some layers stay", r(5, 20), func(*state) {}, 0.5, r(5, 12), true},
		{"layers are only added", r(0, 20), func(*state) {}, 0.5, r(0, 12), false},
		{"the entry shows the new layers", r(5, 20), func(s *state) {
			s.applyAnswer(answer{changes: []Change{{Replica: replica("r", 5, 20)}}}, at(0.5))
		}, 1, r(5, 20), true},
		{"the replica reports the new layers", r(5, 20), func(s *state) {
			s.applyLayerReport(mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: "r"}, Layers: r(5, 20)}, at(0.5))
		}, 1, r(5, 20), true},
		{"the order was not carried out", r(20, 30), func(*state) {}, 4, r(0, 12), false},
		{"the store is unreachable", r(5, 20), func(s *state) { s.setReachable(false, at(0.5)) }, 4, r(5, 12), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(discardLogger(), time.Second)
			addReplicas(&s, "r")
			s.applyOrder(mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: "r"}, Layers: tt.ordered}, at(0))
			tt.apply(&s)
			s.expire(at(tt.check))
			got := s.view().Fleet.ByID("r")
			is.Equal(got.Layers, tt.want)
			is.Equal(got.ReleasingLayers, tt.moving)
		})
	}
}
