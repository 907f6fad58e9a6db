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

// placementRunner runs the placer of this entry host, if it may hold the lease, and knows whether it does.
type placementRunner struct {
	controller *mangocontrol.Controller
	metrics    *mangometric.Metrics
	logger     *logrus.Logger
	maxLoads   int
	placer     *mangoplacement.Placer
	// number is the fencing number while the lease is held, else 0.
	fencingNumber atomic.Uint64
	// deferred has the reasons that were logged for orders held back, by host.
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
		budget.For("placement"), engines, p, id.DataCentre, id.Name,
		mangoplacement.WithLeaseTime(milliseconds(s.Placement.LeaseTime)),
		mangoplacement.WithOrderTimeout(milliseconds(s.Placement.OrderTimeout)),
		mangoplacement.WithInterval(milliseconds(s.Placement.Interval)),
		mangoplacement.WithFencedKinds(splitList(s.Placement.FencedKinds)...),
		mangoplacement.WithObserver(p),
	)
	return p
}

// runPlacer places until the shutdown begins or the context ends, so that the lease is free while calls still finish.
func (p *placementRunner) runPlacer(ctx context.Context, shutdown <-chan struct{}) {
	if p.placer != nil {
		placing, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			// Run ends with the context only.
			_ = p.placer.Run(placing)
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

// heldLease returns whether this entry host gives orders and its fencing number.
func (p *placementRunner) heldLease() (bool, uint64) {
	number := p.fencingNumber.Load()
	return number > 0, number
}

// Read implements mangoplacement.Source.
func (p *placementRunner) Read(ctx context.Context) (mangoplacement.Desired, map[string]mangoplacement.State) {
	return p.controller.PlacementInput(ctx, p.maxLoads)
}

// Held implements mangoplacement.Observer.
func (p *placementRunner) Held(holds bool, number uint64, err error) {
	if !holds {
		number = 0
	}
	if p.fencingNumber.Swap(number) == number {
		return
	}
	line := p.logger.WithFields(logrus.Fields{"event": "placement_lease", "held": holds, "fencing_number": number})
	if err != nil {
		line = line.WithError(err)
	}
	line.Info("placement lease changed")
}

// Ordered implements mangoplacement.Observer.
func (p *placementRunner) Ordered(o mangoplacement.Order, reply *mangomessage.OrderReply, err error) {
	var failed *mangoplacement.Error
	if errors.As(err, &failed) && failed.Kind == mangoplacement.KindNotHolder {
		p.orderLog(o).WithError(err).Debug("placement order not sent")
		return
	}
	result := "Accepted"
	switch {
	case err != nil:
		result = "Unknown"
	case !reply.GetAccepted():
		result = reply.GetReason()
	}
	p.metrics.Order(o.Order.GetAction(), result)
	line := p.orderLog(o).WithField("result", result)
	if err != nil {
		line.WithError(err).Warn("placement order without reply")
		return
	}
	line.Info("placement order")
}

// Deferred implements mangoplacement.Observer; a reason is logged once.
func (p *placementRunner) Deferred(o mangoplacement.Order) {
	p.mu.Lock()
	known := p.loggedDeferrals[o.Host.Name] == o.Reason
	p.loggedDeferrals[o.Host.Name] = o.Reason
	p.mu.Unlock()
	if !known {
		p.orderLog(o).WithField("result", "Held").Warn("placement order held back")
	}
}

func (p *placementRunner) orderLog(o mangoplacement.Order) *logrus.Entry {
	return p.logger.WithFields(logrus.Fields{
		"event": "placement", "host": o.Host.Name, "order": o.Order.GetAction(), "id": o.Order.GetId(), "profile": o.Profile,
		"version": o.Order.GetVersion(), "layers": fmt.Sprintf("%d-%d", o.Order.GetFromLayer(), o.Order.GetToLayer()),
		"fencing_number": o.Order.GetFencingNumber(), "reason": o.Reason,
	})
}
