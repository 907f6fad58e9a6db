package mangolayout

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
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// fakeEngines are replicas with one report each; they count their orders.
type fakeEngines struct {
	mu     sync.Mutex
	report Report
	err    error
	orders []Order
}

func (f *fakeEngines) Place(_ context.Context, o Order) (Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return OutcomeBegun, nil
}

func (f *fakeEngines) Report(context.Context, *mangoreplica.Replica) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.report, f.err
}

func (f *fakeEngines) Reach(context.Context, *mangoreplica.Replica, time.Duration) error {
	return f.err
}

func (f *fakeEngines) given() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

type holder struct{}

func (holder) Holds() (uint64, bool) { return 4, true }

func (holder) Renounce(uint64) {}

// movingState is a view that takes sightings.
type movingState struct {
	mu   sync.Mutex
	view mangostate.View
}

func (s *movingState) View() *mangostate.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	return &v
}

func (s *movingState) see(g mangoreplica.LayerReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := *s.view.Fleet.ByID(g.Replica.ID)
	r.Layers = g.Layers
	s.view.Fleet = mangoreplica.NewFleet([]*mangoreplica.Replica{&r})
}

// Guards against a daemon that begins to place layers while the store is away and goes by entries that say nothing of the
// last orders: it orders the same layers again, or takes layers from replicas that need them.
func TestSurvey(t *testing.T) {
	all := mangoreplica.LayerRange{To: 8}
	tests := []struct {
		name      string
		reachable bool
		report    Report
		err       error
		orders    int
		held      mangoreplica.LayerRange
	}{
		{"the store is well", true, Report{}, nil, 1, mangoreplica.LayerRange{}},
		{"the replica is empty", false, Report{}, nil, 1, mangoreplica.LayerRange{}},
		{"the replica holds what its entry does not say", false, Report{AcceptedOrders: 1, Layers: all}, nil, 0, all},
		{"the replica carries out another order", false, Report{AcceptedOrders: 1, Busy: true}, nil, 0, mangoreplica.LayerRange{}},
		{"the replica does not answer", false, Report{}, errors.New("no answer"), 0, mangoreplica.LayerRange{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			engines := &fakeEngines{report: tt.report, err: tt.err}
			model := &mangoroute.Engine{
				Layers: 8, LayerMB: 1750, TokenBytes: 590000, LoadSeconds: 60,
				Accelerators: map[string]mangoroute.Accelerator{"k": {MemoryMB: 72000, StepFactor: 1}},
			}
			state := &movingState{view: mangostate.View{
				Table:     mangoroute.New(1, nil, []mangoroute.Service{{Name: "model", Engine: model}}, nil, false, mangoroute.Limits{}),
				Fleet:     mangoreplica.NewFleet([]*mangoreplica.Replica{{ID: "r", Service: "model", Address: "127.0.0.1:1", DataCentre: "a", Accelerator: "k"}}),
				Reachable: tt.reachable,
			}}
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			p := New(state, holder{}, engines, mangoreplica.NewHealthTracker(), WithLogger(logger), WithSightingHandler(state.see))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- p.Run(ctx) }()
			until := time.Now().Add(settleQuiet + 4*interval)
			for time.Now().Before(until) && (tt.orders == 0 || engines.given() == 0) {
				time.Sleep(interval / 10)
			}
			cancel()
			is.True(<-ended != nil)
			is.Equal(engines.given(), tt.orders)
			is.Equal(state.View().Fleet.ByID("r").Layers, tt.held)
		})
	}
}

// sightings counts what is told to the other daemons.
type sightings struct {
	mu   sync.Mutex
	told []mangoreplica.LayerReport
}

func (s *sightings) see(g mangoreplica.LayerReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, g)
}

func (s *sightings) all() []mangoreplica.LayerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.told)
}

// Guards against daemons that did not get the last entries before the store went away and know no chain in a data centre
// that the placing daemon sees whole.
func TestSightingsAreToldThatEntriesShowHere(t *testing.T) {
	is := is.New(t)
	layers := mangoreplica.LayerRange{To: 8}
	replica := &mangoreplica.Replica{ID: "r", Service: "model", Address: "127.0.0.1:1", DataCentre: "a", Accelerator: "k", Layers: layers}
	model := &mangoroute.Engine{Layers: 8, LayerMB: 1750, TokenBytes: 590000}
	state := &movingState{view: mangostate.View{
		Table: mangoroute.New(1, nil, []mangoroute.Service{{Name: "model", Engine: model}}, nil, false, mangoroute.Limits{}),
		Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{replica}),
	}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	told := &sightings{}
	p := New(state, holder{}, &fakeEngines{report: Report{AcceptedOrders: 1, Layers: layers}}, mangoreplica.NewHealthTracker(), WithLogger(logger), WithSightingHandler(told.see))
	want := mangoreplica.LayerReport{Replica: replica.Incarnation(), Layers: layers}

	p.follow(t.Context(), assigned{Order: Order{Replica: replica, Layers: layers}, engine: model})
	is.Equal(told.all(), []mangoreplica.LayerReport{want}) // an order that was carried out
	p.survey(t.Context())
	is.Equal(told.all(), []mangoreplica.LayerReport{want, want}) // the first survey
	p.survey(t.Context())
	is.Equal(len(told.all()), 2) // a later survey without news
}

// Guards against an order that is taken for lost while its replica still waits for requests: the placer then orders other
// layers, which the replica refuses for as long as it is busy.
func TestBusyReplicaKeepsItsOrder(t *testing.T) {
	is := is.New(t)
	layers := mangoreplica.LayerRange{To: 8}
	replica := &mangoreplica.Replica{ID: "r", Service: "model", Address: "127.0.0.1:1", DataCentre: "a", Accelerator: "k"}
	model := &mangoroute.Engine{Layers: 8, LayerMB: 1750, TokenBytes: 590000}
	state := &movingState{view: mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{replica})}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	engines := &fakeEngines{report: Report{AcceptedOrders: 1, Busy: true}}
	p := New(state, holder{}, engines, mangoreplica.NewHealthTracker(), WithLogger(logger), WithSightingHandler(state.see))
	begun := time.Now()
	p.begun(replica.Incarnation(), layers, begun.Add(entryLag))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.follow(t.Context(), assigned{Order: Order{Replica: replica, Layers: layers}, engine: model})
	}()
	time.Sleep(entryLag + entryLag/4)
	p.mu.Lock()
	until := p.pending[replica.Incarnation()].until
	p.mu.Unlock()
	is.True(until.After(time.Now())) // the order still counts as on its way

	engines.mu.Lock()
	engines.report = Report{AcceptedOrders: 1, Layers: layers}
	engines.mu.Unlock()
	<-ended
	is.Equal(state.View().Fleet.ByID("r").Layers, layers)
}
