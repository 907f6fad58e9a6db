package mangolayout

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// countingClient is a replica that has accepted a number of orders.
type countingClient struct {
	fakeClient
	accepted uint64
}

// Place accepts an order that expects the present number.
func (c *countingClient) Place(_ context.Context, o Order) (Outcome, error) {
	if o.Expected != c.accepted {
		return OutcomeMismatch, nil
	}
	return OutcomeBegun, nil
}

// Guards against an urgent order for layers that waits for half a second because orders to change paths have raised the number
// of orders that the replica has accepted, and against orders on the ground of a report that is behind.
func TestMismatchAfterChangedPaths(t *testing.T) {
	held, wanted := mangoreplica.LayerRange{To: 4}, mangoreplica.LayerRange{To: 8}
	tests := []struct {
		name   string
		report Report
		urgent bool
		pause  time.Duration
		plans  bool
	}{
		{"a higher number and unchanged layers", Report{AcceptedOrders: 5, Layers: held}, false, 0, true},
		{"a report that is behind", Report{AcceptedOrders: 3, Layers: held}, false, retryPause, false},
		{"a report that is behind an urgent order", Report{AcceptedOrders: 3, Layers: held}, true, reportLag, false},
		{"other layers", Report{AcceptedOrders: 5, Layers: wanted}, true, retryPause, false},
		{"an order that is carried out", Report{AcceptedOrders: 5, Layers: held, Busy: true}, true, retryPause, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				client := &countingClient{fakeClient: fakeClient{report: tt.report}, accepted: 5}
				p := New(&fakeState{}, heldLease{}, client, mangoreplica.NewHealthTracker(), WithLogger(logger))
				r := &mangoreplica.Replica{ID: "r", Layers: held}
				p.setAcceptedOrders(r.Incarnation(), 3)
				begun := time.Now()
				accepted := p.send(t.Context(), plannedOrder{
					Order: Order{Replica: r, Layers: wanted, Urgent: tt.urgent}, engine: &mangoroute.Engine{Layers: 8}, reason: ReasonCopy,
				})
				is.True(!accepted)
				pending := p.pendingOrders[r.Incarnation()]
				is.True(pending.paused)
				left := pending.until.Sub(begun)
				is.True(left >= tt.pause && left < tt.pause+100*time.Millisecond)
				is.Equal(len(p.replan) == 1, tt.plans)
				is.Equal(p.acceptedOrders[r.Incarnation()], max(3, tt.report.AcceptedOrders))
			})
		})
	}
}
