package mangodaemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangoplacement"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// placementRunner runs the placer of this entry host and logs and counts its orders. It also knows whether this entry host
// holds the placement lease.
type placementRunner struct {
	controller *mangocontrol.Controller
	metrics    *mangometric.Metrics
	logger     *logrus.Logger
	maxLoads   int
	// placer is nil if placement is disabled in the settings.
	placer *mangoplacement.Placer
	// fencingNumber is the fencing number while the lease is held, else 0.
	fencingNumber atomic.Uint64
	// loggedDeferrals has, by host, the reason last logged for an order that was held back. mu guards it.
	mu              sync.Mutex
	loggedDeferrals map[string]string
}

var (
	_ mangoplacement.Source   = (*placementRunner)(nil)
	_ mangoplacement.Observer = (*placementRunner)(nil)
)

func providePlacement(
	s *mangomessage.Settings, id mangocontrol.Identity, budget *mangostore.Budget, engines *mangoupstream.Client,
	controller *mangocontrol.Controller, metrics *mangometric.Metrics, logger *logrus.Logger,
) *placementRunner {
	p := &placementRunner{
		controller: controller, metrics: metrics, logger: logger, maxLoads: int(s.Placement.WeightRate), loggedDeferrals: map[string]string{},
	}
	if !s.Placement.Enabled {
		return p
	}
	p.placer = mangoplacement.New(
		budget.ForPurpose("placement"), engines, p, id.DataCentre, id.Name,
		mangoplacement.WithLeaseTime(milliseconds(s.Placement.LeaseTime)),
		mangoplacement.WithOrderTimeout(milliseconds(s.Placement.OrderTimeout)),
		mangoplacement.WithInterval(milliseconds(s.Placement.Interval)),
		mangoplacement.WithFencedKinds(splitList(s.Placement.FencedKinds)...),
		mangoplacement.WithObserver(p),
	)
	return p
}

// runPlacer runs the placer until the shutdown begins or the context ends, so that the lease is free while calls still
// finish. It returns only when the context ends, since a component that returns before counts as failed.
func (p *placementRunner) runPlacer(ctx context.Context, shutdown <-chan struct{}) {
	if p.placer != nil {
		placerCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			// Run returns only when the context ends, so its error tells nothing new.
			_ = p.placer.Run(placerCtx)
			close(ended)
		}()
		select {
		case <-shutdown:
		case <-ctx.Done():
		}
		stop()
		<-ended
		p.fencingNumber.Store(0)
	}
	<-ctx.Done()
}

// heldLease reports whether this entry host holds the placement lease, and its fencing number.
func (p *placementRunner) heldLease() (bool, uint64) {
	number := p.fencingNumber.Load()
	return number > 0, number
}

// Read implements mangoplacement.Source with the desired and the present layers of the engines.
func (p *placementRunner) Read(ctx context.Context) (mangoplacement.DesiredState, map[string]mangoplacement.HostState) {
	return p.controller.PlacementInput(ctx, p.maxLoads)
}

// LeaseChecked implements mangoplacement.Observer. It logs only changes of the lease.
func (p *placementRunner) LeaseChecked(holds bool, number uint64, err error) {
	if !holds {
		number = 0
	}
	if p.fencingNumber.Swap(number) == number {
		return
	}
	entry := p.logger.WithFields(logrus.Fields{"event": "placement_lease", "held": holds, "fencing_number": number})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("placement lease changed")
}

// OrderAttempted implements mangoplacement.Observer. An order that was not sent, as the lease was lost, is not counted.
func (p *placementRunner) OrderAttempted(o mangoplacement.Order, reply *mangomessage.OrderReply, err error) {
	var failed *mangoplacement.Error
	if errors.As(err, &failed) && failed.Kind == mangoplacement.KindNotHolder {
		p.orderLog(o).WithError(err).Debug("placement order not sent: the placement lease is not held")
		return
	}
	result := "Accepted"
	switch {
	case err != nil:
		result = "Unknown"
	case !reply.GetAccepted():
		result = reply.GetReason()
	}
	p.metrics.CountOrder(o.Order.GetAction(), result)
	entry := p.orderLog(o).WithField("result", result)
	if err != nil {
		entry.WithError(err).Warn("placement order without reply")
		return
	}
	entry.Info("placement order answered")
}

// OrderDeferred implements mangoplacement.Observer. It logs an order only if the reason for its host has changed.
func (p *placementRunner) OrderDeferred(o mangoplacement.Order) {
	p.mu.Lock()
	logged := p.loggedDeferrals[o.Host.Name] == o.Reason
	p.loggedDeferrals[o.Host.Name] = o.Reason
	p.mu.Unlock()
	if !logged {
		p.orderLog(o).WithField("result", "Held").Warn("placement order held back")
	}
}

// orderLog returns a log entry with the fields of an order.
func (p *placementRunner) orderLog(o mangoplacement.Order) *logrus.Entry {
	return p.logger.WithFields(logrus.Fields{
		"event": "placement", "host": o.Host.Name, "order": o.Order.GetAction(), "id": o.Order.GetId(), "profile": o.Profile,
		"version": o.Order.GetVersion(), "layers": fmt.Sprintf("%d-%d", o.Order.GetFromLayer(), o.Order.GetToLayer()),
		"fencing_number": o.Order.GetFencingNumber(), "reason": o.Reason,
	})
}
