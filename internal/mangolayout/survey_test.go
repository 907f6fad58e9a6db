package mangolayout

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
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// fakeClient answers for replicas that all give the same report, and keeps the orders.
type fakeClient struct {
	mu     sync.Mutex
	report Report
	err    error
	orders []Order
}

func (f *fakeClient) Place(_ context.Context, o Order) (Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return OutcomeBegun, nil
}

func (f *fakeClient) Report(context.Context, *mangoreplica.Replica) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.report, f.err
}

func (f *fakeClient) Reach(context.Context, *mangoreplica.Replica, time.Duration) error {
	return f.err
}

func (f *fakeClient) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// heldLease is a lease that this daemon always holds.
type heldLease struct{}

func (heldLease) Holds() (uint64, bool) { return 4, true }

func (heldLease) Renounce(uint64) {}

// fakeState is a view whose replica takes over reported layers.
type fakeState struct {
	mu   sync.Mutex
	view mangostate.View
}

func (s *fakeState) View() *mangostate.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	return &v
}

func (s *fakeState) recordLayerReport(si mangoreplica.LayerReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := *s.view.Fleet.ByID(si.Replica.ID)
	r.Layers = si.Layers
	s.view.Fleet = mangoreplica.NewFleet([]*mangoreplica.Replica{&r})
}

// Guards against a daemon that starts to place layers while the store is unreachable and trusts entries that do not show
// the last orders: it orders the same layers again, or takes layers from replicas that need them.
func TestReplicasAreSurveyedWhileStoreIsUnreachable(t *testing.T) {
	all := mangoreplica.LayerRange{To: 8}
	tests := []struct {
		name      string
		reachable bool
		report    Report
		err       error
		orders    int
		held      mangoreplica.LayerRange
	}{
		{"the store is reachable", true, Report{}, nil, 1, mangoreplica.LayerRange{}},
		{"the replica is empty", false, Report{}, nil, 1, mangoreplica.LayerRange{}},
		{"the replica holds layers that its entry does not show", false, Report{AcceptedOrders: 1, Layers: all}, nil, 0, all},
		{"the replica carries out another order", false, Report{AcceptedOrders: 1, Busy: true}, nil, 0, mangoreplica.LayerRange{}},
		{"the replica does not answer", false, Report{}, errors.New("no answer"), 0, mangoreplica.LayerRange{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client := &fakeClient{report: tt.report, err: tt.err}
				model := &mangoroute.Engine{
					Layers: 8, LayerMB: 1750, TokenBytes: 590000, LoadSeconds: 60,
					Accelerators: map[string]mangoroute.Accelerator{"k": {MemoryMB: 72000, StepFactor: 1}},
				}
				state := &fakeState{view: mangostate.View{
					Table:     mangoroute.New(1, nil, []mangoroute.Service{{Name: "model", Engine: model}}, nil, false, mangoroute.Limits{}),
					Fleet:     mangoreplica.NewFleet([]*mangoreplica.Replica{{ID: "r", Service: "model", Address: "127.0.0.1:1", DataCentre: "a", Accelerator: "k"}}),
					Reachable: tt.reachable,
				}}
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				p := New(state, heldLease{}, client, mangoreplica.NewHealthTracker(), WithLogger(logger), WithLayerReportHandler(state.recordLayerReport))
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- p.Run(ctx) }()
				until := time.Now().Add(startupQuiet + 4*planInterval)
				for time.Now().Before(until) && (tt.orders == 0 || client.orderCount() == 0) {
					time.Sleep(planInterval / 10)
				}
				cancel()
				is.True(<-ended != nil)
				is.Equal(client.orderCount(), tt.orders)
				is.Equal(state.View().Fleet.ByID("r").Layers, tt.held)
			})
		})
	}
}

// layerReportRecorder keeps the reports that would go to the other daemons.
type layerReportRecorder struct {
	mu      sync.Mutex
	reports []mangoreplica.LayerReport
}

func (s *layerReportRecorder) record(si mangoreplica.LayerReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, si)
}

func (s *layerReportRecorder) all() []mangoreplica.LayerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reports)
}

// Guards against daemons that did not get the last entries before the store became unreachable, and know no chain in a data
// centre in which the placing daemon knows one.
func TestLayerReportIsSentEvenIfEntryIsCurrent(t *testing.T) {
	is := is.New(t)
	layers := mangoreplica.LayerRange{To: 8}
	replica := &mangoreplica.Replica{ID: "r", Service: "model", Address: "127.0.0.1:1", DataCentre: "a", Accelerator: "k", Layers: layers}
	model := &mangoroute.Engine{Layers: 8, LayerMB: 1750, TokenBytes: 590000}
	state := &fakeState{view: mangostate.View{
		Table: mangoroute.New(1, nil, []mangoroute.Service{{Name: "model", Engine: model}}, nil, false, mangoroute.Limits{}),
		Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{replica}),
	}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	recorder := &layerReportRecorder{}
	p := New(state, heldLease{}, &fakeClient{report: Report{AcceptedOrders: 1, Layers: layers}}, mangoreplica.NewHealthTracker(), WithLogger(logger), WithLayerReportHandler(recorder.record))
	want := mangoreplica.LayerReport{Replica: replica.Incarnation(), Layers: layers}

	p.awaitLayers(t.Context(), plannedOrder{Order: Order{Replica: replica, Layers: layers}, engine: model})
	is.Equal(recorder.all(), []mangoreplica.LayerReport{want}) // an order that was carried out
	p.survey(t.Context())
	is.Equal(recorder.all(), []mangoreplica.LayerReport{want, want}) // the first survey
	p.survey(t.Context())
	is.Equal(len(recorder.all()), 2) // a later survey without changes
}

// Guards against an order that counts as lost while its replica still waits for requests: the placer then orders other
// layers, which the replica refuses for as long as it is busy.
func TestBusyReplicaKeepsItsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		layers := mangoreplica.LayerRange{To: 8}
		replica := &mangoreplica.Replica{ID: "r", Service: "model", Address: "127.0.0.1:1", DataCentre: "a", Accelerator: "k"}
		model := &mangoroute.Engine{Layers: 8, LayerMB: 1750, TokenBytes: 590000}
		state := &fakeState{view: mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{replica})}}
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		client := &fakeClient{report: Report{AcceptedOrders: 1, Busy: true}}
		p := New(state, heldLease{}, client, mangoreplica.NewHealthTracker(), WithLogger(logger), WithLayerReportHandler(state.recordLayerReport))
		start := time.Now()
		p.recordSent(replica.Incarnation(), layers, start.Add(entryLag))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			p.awaitLayers(t.Context(), plannedOrder{Order: Order{Replica: replica, Layers: layers}, engine: model})
		}()
		time.Sleep(entryLag + entryLag/4)
		p.mu.Lock()
		until := p.pendingOrders[replica.Incarnation()].until
		p.mu.Unlock()
		is.True(until.After(time.Now())) // the order is still pending

		client.mu.Lock()
		client.report = Report{AcceptedOrders: 1, Layers: layers}
		client.mu.Unlock()
		<-ended
		is.Equal(state.View().Fleet.ByID("r").Layers, layers)
	})
}
