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

// placement runs the placer of this entry host, if it may hold the lease, and knows whether it does.
type placement struct {
	controller *mangocontrol.Controller
	metrics    *mangometric.Metrics
	logger     *logrus.Logger
	maxLoads   int
	placer     *mangoplacement.Placer
	// number is the fencing number while the lease is held, else 0.
	number atomic.Uint64
	// deferred has the reasons that were logged for orders held back, by host.
	mu       sync.Mutex
	deferred map[string]string
}

var (
	_ mangoplacement.Source   = (*placement)(nil)
	_ mangoplacement.Observer = (*placement)(nil)
)

func providePlacement(
	s *mangomessage.Settings, id mangocontrol.Identity, budget *mangostore.Budget, engines *mangoupstream.Client,
	controller *mangocontrol.Controller, metrics *mangometric.Metrics, logger *logrus.Logger,
) *placement {
	p := &placement{
		controller: controller, metrics: metrics, logger: logger, maxLoads: int(s.Placement.WeightRate), deferred: map[string]string{},
	}
	if !s.Placement.Enabled {
		return p
	}
	p.placer = mangoplacement.New(
		budget.ForPurpose("placement"), engines, p, id.DataCentre, id.Name,
		mangoplacement.WithLeaseTime(milliseconds(s.Placement.LeaseTime)),
		mangoplacement.WithOrderTimeout(milliseconds(s.Placement.OrderTimeout)),
		mangoplacement.WithInterval(milliseconds(s.Placement.Interval)),
		mangoplacement.WithFencedKinds(words(s.Placement.FencedKinds)...),
		mangoplacement.WithObserver(p),
	)
	return p
}

// run places until the shutdown begins or the context ends, so that the lease is free while calls still finish.
func (p *placement) run(ctx context.Context, shutdown <-chan struct{}) {
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
		p.number.Store(0)
	}
	<-ctx.Done()
}

// tenure returns whether this entry host gives orders and its fencing number.
func (p *placement) tenure() (bool, uint64) {
	number := p.number.Load()
	return number > 0, number
}

// Read implements mangoplacement.Source.
func (p *placement) Read(ctx context.Context) (mangoplacement.DesiredState, map[string]mangoplacement.HostState) {
	return p.controller.PlacementInput(ctx, p.maxLoads)
}

// LeaseChecked implements mangoplacement.Observer.
func (p *placement) LeaseChecked(holds bool, number uint64, err error) {
	if !holds {
		number = 0
	}
	if p.number.Swap(number) == number {
		return
	}
	line := p.logger.WithFields(logrus.Fields{"event": "placement_lease", "held": holds, "fencing_number": number})
	if err != nil {
		line = line.WithError(err)
	}
	line.Info("placement lease changed")
}

// OrderAttempted implements mangoplacement.Observer.
func (p *placement) OrderAttempted(o mangoplacement.Order, reply *mangomessage.OrderReply, err error) {
	var failed *mangoplacement.Error
	if errors.As(err, &failed) && failed.Kind == mangoplacement.KindNotHolder {
		p.line(o).WithError(err).Debug("placement order not sent")
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
	line := p.line(o).WithField("result", result)
	if err != nil {
		line.WithError(err).Warn("placement order without reply")
		return
	}
	line.Info("placement order")
}

// OrderDeferred implements mangoplacement.Observer; a reason is logged once.
func (p *placement) OrderDeferred(o mangoplacement.Order) {
	p.mu.Lock()
	known := p.deferred[o.Host.Name] == o.Reason
	p.deferred[o.Host.Name] = o.Reason
	p.mu.Unlock()
	if !known {
		p.line(o).WithField("result", "Held").Warn("placement order held back")
	}
}

func (p *placement) line(o mangoplacement.Order) *logrus.Entry {
	return p.logger.WithFields(logrus.Fields{
		"event": "placement", "host": o.Host.Name, "order": o.Order.GetAction(), "id": o.Order.GetId(), "profile": o.Profile,
		"version": o.Order.GetVersion(), "layers": fmt.Sprintf("%d-%d", o.Order.GetFromLayer(), o.Order.GetToLayer()),
		"fencing_number": o.Order.GetFencingNumber(), "reason": o.Reason,
	})
}
