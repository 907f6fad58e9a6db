package mangodaemon

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangometric"
)

// gaugeInterval is the time between updates of the gauges; scrapers read at longer intervals.
const gaugeInterval = time.Second

// gauges shows the control state in the metrics until the context ends.
func (r reporter) gauges(ctx context.Context, metrics *mangometric.Metrics) {
	tick := time.NewTicker(gaugeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		snapshot, status := r.controller.Snapshot(), r.Status()
		if !snapshot.ConfirmedAt.IsZero() {
			metrics.SetBookRevision(status.Revision, snapshot.ConfirmedAt)
		}
		metrics.SetUnconfirmed(status.Unconfirmed)
		metrics.SetQueuedCalls(int(status.Queued))
		metrics.SetSuspects(int(status.Suspects))
		metrics.SetLivePeers(len(snapshot.Members))
		forks, _ := r.controller.Forks()
		metrics.SetForks(forks)
	}
}
