package mangoslowness

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

type fixedState struct{ view *mangostate.View }

func (s fixedState) View() *mangostate.View { return s.view }

// fakeProber answers with the slowness of replicas by id. It fails for replicas that have none.
type fakeProber struct {
	mu       sync.Mutex
	slowness map[string]float64
	probed   []string
}

func (f *fakeProber) Slowness(_ context.Context, r *mangoreplica.Replica) (float64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed = append(f.probed, r.ID)
	s, ok := f.slowness[r.ID]
	if !ok {
		return 0, errors.New("no answer")
	}
	return s, nil
}

func (f *fakeProber) set(id string, slowness float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowness[id] = slowness
}

func (f *fakeProber) probedIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(slices.Values(f.probed))
}

// setup is a Detector with a fake prober and the reports that it announces.
type setup struct {
	detector  *Detector
	prober    *fakeProber
	health    *mangoreplica.HealthTracker
	announced chan mangoreplica.Pace
}

// newSetup returns a detector that knows two replicas with layers and one without in data centre "a", and one with layers
// in "b".
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
		prober: &fakeProber{slowness: map[string]float64{"a1": 1, "a2": 1, "a3": 1, "b1": 1}}, health: mangoreplica.NewHealthTracker(),
		announced: make(chan mangoreplica.Pace, 64),
	}
	s.detector = New(fixedState{&mangostate.View{Fleet: fleet}}, s.prober, s.health, func(p mangoreplica.Pace) { s.announced <- p }, WithLogger(logger))
	return s
}

func (s *setup) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	ended := make(chan error, 1)
	go func() { ended <- s.detector.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v", err)
		}
	})
}

func (s *setup) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

func (s *setup) slow(id string) bool {
	return s.health.Slow(mangoreplica.Incarnation{ID: id}, time.Now())
}

// Guards against slow replicas that are never found, that never count as recovered, or that count as recovered while they
// are still slow. Also guards against probes of replicas in other data centres.
func TestSlowReplicaIsRechecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSetup(t)
		s.prober.set("a2", 5)
		s.run(t)
		s.detector.ReportSlow("model", "a")
		s.eventually(t, "found", func() bool { return s.slow("a2") })
		first := []mangoreplica.Pace{<-s.announced, <-s.announced}
		is.True(first[0].Replica.ID != first[1].Replica.ID) // both are announced
		is.Equal(s.prober.probedIDs(), []string{"a1", "a2"})
		is.True(!s.slow("a1"))
		// The slow replica is probed again without another call of ReportSlow.
		s.eventually(t, "probed again", func() bool { return len(s.prober.probedIDs()) >= 3 })
		is.True(s.slow("a2"))
		s.prober.set("a2", 1)
		s.eventually(t, "no longer slow", func() bool { return !s.slow("a2") })
	})
}

// Guards against several daemons that probe the same replicas at the same time, although each probe has a cost.
func TestProbesAreShared(t *testing.T) {
	now := time.Unix(100, 0)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name   string
		probes []time.Time
		check  time.Time
		due    bool
	}{
		{"never probed", nil, now, true},
		{"probed just now", []time.Time{now}, at(0.1), false},
		{"the first probe may have come too early", []time.Time{now}, at(0.5), true},
		{"probed a second time", []time.Time{now, at(0.5)}, at(1.1), false},
		{"long after the second probe", []time.Time{now, at(0.5)}, at(2), true},
		{"probed by two daemons at the same time", []time.Time{now, at(0.01)}, at(0.51), true},
		{"first probe after a quiet period", []time.Time{now, at(0.5), at(9)}, at(9.5), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s probeTimes
			for _, a := range tt.probes {
				s = s.add(a)
			}
			if s.due(tt.check) != tt.due {
				t.Errorf("due is %v", !tt.due)
			}
		})
	}
	t.Run("probed by another daemon", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newSetup(t)
			s.detector.RecordPeerReport(mangoreplica.Pace{Replica: mangoreplica.Incarnation{ID: "a1"}, Slowness: 4, At: time.Now()}, "peer")
			is.True(s.slow("a1"))
			s.run(t)
			s.detector.ReportSlow("model", "a")
			s.detector.ReportSlow("model", "b")
			s.eventually(t, "the other data centre is probed", func() bool { return len(s.prober.probedIDs()) > 0 })
			is.Equal(s.prober.probedIDs(), []string{"b1"})
		})
	})
}

// Guards against a replica that counts as slow, or as no longer slow, because it does not answer a probe.
func TestNoAnswerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSetup(t)
		delete(s.prober.slowness, "a2")
		s.prober.set("a1", 9)
		s.run(t)
		s.detector.ReportSlow("model", "a")
		s.eventually(t, "found", func() bool { return s.slow("a1") })
		is.True(!s.slow("a2"))
		is.Equal((<-s.announced).Replica.ID, "a1")
	})
}
