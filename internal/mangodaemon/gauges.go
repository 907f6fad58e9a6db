package mangodaemon

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangocustomer"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangosuspect"
)

// gaugeInterval is the time between updates of the gauges; scrapes are less frequent.
const gaugeInterval = time.Second

// gauges passes the control state on to the metrics.
type gauges struct {
	controller *mangocontrol.Controller
	queue      *mangocustomer.Queue
	suspects   *mangosuspect.Suspects
	metrics    *mangometric.Metrics
}

func provideGauges(
	controller *mangocontrol.Controller, queue *mangocustomer.Queue, suspects *mangosuspect.Suspects, metrics *mangometric.Metrics,
) *gauges {
	return &gauges{controller: controller, queue: queue, suspects: suspects, metrics: metrics}
}

func (g *gauges) run(ctx context.Context) {
	tick := time.NewTicker(gaugeInterval)
	defer tick.Stop()
	for {
		g.update()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (g *gauges) update() {
	s := g.controller.Snapshot()
	if !s.ConfirmedAt.IsZero() {
		g.metrics.Confirmed(s.Book.Revision(), s.ConfirmedAt)
	}
	g.metrics.Unconfirmed(!g.controller.Fresh())
	g.metrics.Peers(len(s.Members))
	forks, _ := g.controller.Forks()
	g.metrics.Forks(forks)
	suspects, condemned := g.suspects.Counts(time.Now())
	g.metrics.Suspects(suspects + condemned)
	queued := 0
	for _, l := range g.queue.Loads() {
		queued += l.Queued
	}
	g.metrics.Queued(queued)
}
