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

func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func replica(id string, from, to int) *mangoreplica.Replica {
	return &mangoreplica.Replica{ID: id, Service: "s", Address: "10.0.0.1:1", DataCentre: "a", Layers: mangoreplica.LayerRange{From: from, To: to}}
}

func known(s *state, ids ...string) {
	a := answer{snapshot: true, revision: 1}
	for _, id := range ids {
		a.changes = append(a.changes, Change{Replica: replica(id, 0, 12)})
	}
	s.fold(a, at(0))
}

// Guards against replicas that are dropped because their entries lapsed while the store was away, and against ones that
// are kept although they did not come back.
func TestLapse(t *testing.T) {
	tests := []struct {
		name string
		// lost and returned are the times at which the store stops and starts to answer; 0 means never.
		lost, returned float64
		gone           float64
		back           float64
		check          float64
		want           bool
	}{
		{name: "gone while the store is well", gone: 5, check: 5, want: false},
		{name: "gone while the store is away", lost: 1, gone: 2, check: 4, want: true},
		{name: "gone just after the return", lost: 1, returned: 4, gone: 4.1, check: 5, want: true},
		{name: "still missing after the return", lost: 1, returned: 4, gone: 4.1, check: 7, want: false},
		{name: "back after the return", lost: 1, returned: 4, gone: 4.1, back: 5, check: 7, want: true},
		{name: "gone long after the return", lost: 1, returned: 2, gone: 9, check: 9, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(quiet(), 2*time.Second)
			known(&s, "r")
			if tt.lost > 0 {
				s.answered(false, at(tt.lost))
			}
			if tt.returned > 0 {
				s.answered(true, at(tt.returned))
			}
			s.fold(answer{changes: []Change{{RemovedReplica: "r"}}}, at(tt.gone))
			if tt.back > 0 {
				s.fold(answer{changes: []Change{{Replica: replica("r", 0, 12)}}}, at(tt.back))
			}
			s.sweep(at(tt.check))
			is.Equal(s.view().Fleet.ByID("r") != nil, tt.want)
		})
	}
}

// Guards against a daemon that goes back to an older configuration after it used a newer one.
func TestVersionsNeverFall(t *testing.T) {
	is := is.New(t)
	s := newState(quiet(), time.Second)
	for _, v := range []uint64{3, 9, 4, 9, 12, 1} {
		s.fold(answer{changes: []Change{{Table: mangoroute.New(v, nil, nil, nil, false, mangoroute.Limits{})}}}, at(0))
	}
	is.Equal(s.view().Table.Version(), uint64(12))
}

// Guards against a replica that gets requests again because a late entry of the same start says that it is ready.
func TestDrainingStays(t *testing.T) {
	is := is.New(t)
	s := newState(quiet(), time.Second)
	known(&s, "r")
	leaving := replica("r", 0, 12)
	leaving.Draining = true
	s.fold(answer{changes: []Change{{Replica: leaving}}}, at(1))
	s.fold(answer{changes: []Change{{Replica: replica("r", 0, 12)}}}, at(2))
	is.True(s.view().Fleet.ByID("r").Draining)
	again := replica("r", 0, 0)
	again.Born = 7
	s.fold(answer{changes: []Change{{Replica: again}}}, at(3))
	is.True(!s.view().Fleet.ByID("r").Draining)
}

// Guards against a sighting that outlives the truth: a replica took more layers and gave them up again between two
// heartbeats, so its entry never changed and its data centre got no request for half a minute.
func TestSightingEnds(t *testing.T) {
	tests := []struct {
		name  string
		apply func(s *state)
		check float64
		want  int
	}{
		{"holds at first", func(*state) {}, 1, 13},
		{"the entry should have followed", func(*state) {}, 6, 12},
		{"the replica says what the entry says", func(s *state) {
			s.see(mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: "r"}, Layers: mangoreplica.LayerRange{To: 12}}, at(0.5))
		}, 1, 12},
		{"the entry changes", func(s *state) {
			s.fold(answer{changes: []Change{{Replica: replica("r", 0, 20)}}}, at(0.5))
		}, 1, 20},
		{"the store is away", func(s *state) { s.answered(false, at(0.5)) }, 6, 13},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(quiet(), time.Second)
			known(&s, "r")
			s.see(mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: "r"}, Layers: mangoreplica.LayerRange{To: 13}}, at(0))
			tt.apply(&s)
			s.sweep(at(tt.check))
			is.Equal(s.view().Fleet.ByID("r").Layers.To, tt.want)
		})
	}
}

// scriptedFeed answers snapshots from a list and lets watches wait for ever.
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

// Guards against a watch that waits on a dead connection while the configuration changes: a revision seen by another call
// must end the wait.
func TestDeafWatch(t *testing.T) {
	is := is.New(t)
	feed := &scriptedFeed{snapshots: make(chan []Change, 1), watches: make(chan uint64, 8)}
	feed.snapshots <- []Change{{Table: mangoroute.New(1, nil, nil, nil, false, mangoroute.Limits{})}}
	c := New(feed, mangoreplica.NewHealthTracker(), WithLogger(quiet()))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	is.Equal(<-feed.watches, uint64(1))
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

// Guards against requests that are sent to layers that a replica has just been ordered to give up, and against a replica that
// counts as moving, or without the layers it still holds, for ever.
func TestNarrow(t *testing.T) {
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
			s.fold(answer{changes: []Change{{Replica: replica("r", 5, 20)}}}, at(0.5))
		}, 1, r(5, 20), true},
		{"the replica says that it has loaded", r(5, 20), func(s *state) {
			s.see(mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: "r"}, Layers: r(5, 20)}, at(0.5))
		}, 1, r(5, 20), true},
		{"the order was not carried out", r(20, 30), func(*state) {}, 4, r(0, 12), false},
		{"the store is away", r(5, 20), func(s *state) { s.answered(false, at(0.5)) }, 4, r(5, 12), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(quiet(), time.Second)
			known(&s, "r")
			s.narrow(mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: "r"}, Layers: tt.ordered}, at(0))
			tt.apply(&s)
			s.sweep(at(tt.check))
			got := s.view().Fleet.ByID("r")
			is.Equal(got.Layers, tt.want)
			is.Equal(got.ReleasingLayers, tt.moving)
		})
	}
}

// Guards against calls to the store that grow with daemons times changes, and against a small deployment, or the first
// change of a burst, that waits for the sake of many daemons.
func TestBurstPause(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		since   time.Duration
		want    time.Duration
	}{
		{"nobody announced yet", 0, 0, batchPause},
		{"few daemons", 8, 0, batchPause},
		{"the first change of a burst", 69, burstEnd, batchPause},
		{"more daemons", 24, batchPause, 3 * batchPause},
		{"many daemons", 69, batchPause, batchMax},
		{"daemons of the target size", 410, batchPause, batchMax},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(burstPause(tt.daemons, tt.since), tt.want)
		})
	}
}
