package mangopace

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

type fixedState struct{ view *mangostate.View }

func (s fixedState) View() *mangostate.View { return s.view }

// fakeReporter has the slowness of replicas by id; one without any does not answer.
type fakeReporter struct {
	mu       sync.Mutex
	slowness map[string]float64
	asked    []string
}

func (f *fakeReporter) Slowness(_ context.Context, r *mangoreplica.Replica) (float64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, r.ID)
	s, ok := f.slowness[r.ID]
	if !ok {
		return 0, errors.New("no answer")
	}
	return s, nil
}

func (f *fakeReporter) set(id string, slowness float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowness[id] = slowness
}

func (f *fakeReporter) questions() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(slices.Values(f.asked))
}

type setup struct {
	watcher  *Detector
	reporter *fakeReporter
	board    *mangoreplica.HealthTracker
	told     chan mangoreplica.Pace
}

// newSetup returns a watcher that knows two replicas with layers and an empty one in data centre "a" and one in "b".
func newSetup(t *testing.T) *setup {
	t.Helper()
	layers := mangoreplica.LayerRange{To: 8}
	fleet := mangoreplica.NewFleet([]*mangoreplica.Replica{
		{ID: "a1", Service: "model", Address: "127.0.0.1:1", DataCentre: "a", Layers: layers},
		{ID: "a2", Service: "model", Address: "127.0.0.1:2", DataCentre: "a", Layers: layers},
		{ID: "a3", Service: "model", Address: "127.0.0.1:3", DataCentre: "a"},
		{ID: "b1", Service: "model", Address: "127.0.0.1:4", DataCentre: "b", Layers: layers},
	})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &setup{
		reporter: &fakeReporter{slowness: map[string]float64{"a1": 1, "a2": 1, "a3": 1, "b1": 1}}, board: mangoreplica.NewHealthTracker(),
		told: make(chan mangoreplica.Pace, 64),
	}
	s.watcher = New(fixedState{&mangostate.View{Fleet: fleet}}, s.reporter, s.board, func(p mangoreplica.Pace) { s.told <- p }, WithLogger(logger))
	return s
}

func (s *setup) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	ended := make(chan error, 1)
	go func() { ended <- s.watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("ended with %v", err)
		}
	})
}

func (s *setup) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("never: %s", what)
		}
	}
}

func (s *setup) slow(id string) bool {
	return s.board.Slow(mangoreplica.Incarnation{ID: id}, time.Now())
}

// Guards against slow replicas that are never found, that count as slow for ever, or that are taken for well while they
// still are slow, and against questions to replicas of other data centres.
func TestSlowReplicaIsWatched(t *testing.T) {
	is := is.New(t)
	s := newSetup(t)
	s.reporter.set("a2", 5)
	s.run(t)
	s.watcher.Suspect("model", "a")
	s.eventually(t, "found", func() bool { return s.slow("a2") })
	first := []mangoreplica.Pace{<-s.told, <-s.told}
	is.True(first[0].Replica.ID != first[1].Replica.ID) // both are told
	is.Equal(s.reporter.questions(), []string{"a1", "a2"})
	is.True(!s.slow("a1"))
	// It is asked again without any further suspicion.
	s.eventually(t, "asked again", func() bool { return len(s.reporter.questions()) >= 3 })
	is.True(s.slow("a2"))
	s.reporter.set("a2", 1)
	s.eventually(t, "well again", func() bool { return !s.slow("a2") })
}

// Guards against daemons that ask the same replicas at the same time, each at its price.
func TestSurveysAreShared(t *testing.T) {
	now := time.Unix(100, 0)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name    string
		surveys []time.Time
		check   time.Time
		due     bool
	}{
		{"none before", nil, now, true},
		{"just now", []time.Time{now}, at(0.1), false},
		{"the first one may have come too early", []time.Time{now}, at(0.5), true},
		{"a second one", []time.Time{now, at(0.5)}, at(1.1), false},
		{"long after the second one", []time.Time{now, at(0.5)}, at(2), true},
		{"two daemons at the same time", []time.Time{now, at(0.01)}, at(0.51), true},
		{"after a quiet time", []time.Time{now, at(0.5), at(9)}, at(9.5), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s surveys
			for _, a := range tt.surveys {
				s = s.with(a)
			}
			if s.due(tt.check) != tt.due {
				t.Errorf("due %v", !tt.due)
			}
		})
	}
	is := is.New(t)
	s := newSetup(t)
	// A time ahead keeps the survey of the other daemon from ageing while the test waits for the processor.
	s.watcher.RecordPeerReport(mangoreplica.Pace{Replica: mangoreplica.Incarnation{ID: "a1"}, Slowness: 4, At: time.Now().Add(time.Hour)}, "peer")
	is.True(s.slow("a1"))
	s.run(t)
	s.watcher.Suspect("model", "a")
	s.watcher.Suspect("model", "b")
	s.eventually(t, "the other data centre is asked", func() bool { return len(s.reporter.questions()) > 0 })
	is.Equal(s.reporter.questions(), []string{"b1"})
}

// Guards against a replica that counts as slow or as well because it does not answer.
func TestNoAnswerSaysNothing(t *testing.T) {
	is := is.New(t)
	s := newSetup(t)
	delete(s.reporter.slowness, "a2")
	s.reporter.set("a1", 9)
	s.run(t)
	s.watcher.Suspect("model", "a")
	s.eventually(t, "found", func() bool { return s.slow("a1") })
	is.True(!s.slow("a2"))
	is.Equal((<-s.told).Replica.ID, "a1")
}
