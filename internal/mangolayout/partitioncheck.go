package mangolayout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// reachTimeout bounds a connection that only shows whether a replica can be reached. The dialer makes up to two attempts in
// that time.
const reachTimeout = 120 * time.Millisecond

// checkPartitions checks in the background the data centres that seemed partitioned.
func (p *Placer) checkPartitions(ctx context.Context, fleet *mangoreplica.Fleet, services []string, now time.Time) {
	for _, dataCentre := range p.partitions.startDueChecks(now) {
		var holders []*mangoreplica.Replica
		for _, name := range services {
			for _, r := range fleet.ByService(name) {
				if r.DataCentre == dataCentre && r.Layers.Len() > 0 {
					holders = append(holders, r)
				}
			}
		}
		d := p.partitions
		p.running.Go(func() { p.checkDataCentre(ctx, d, dataCentre, holders) })
	}
}

// checkDataCentre counts the holders of layers in a data centre that cannot be connected to, and records the result.
func (p *Placer) checkDataCentre(ctx context.Context, d *partitionDetector, dataCentre string, holders []*mangoreplica.Replica) {
	var group sync.WaitGroup
	var missing atomic.Int64
	for _, r := range holders {
		group.Go(func() {
			if p.client.Reach(ctx, r, reachTimeout) != nil {
				missing.Add(1)
			}
		})
	}
	group.Wait()
	p.logger.WithFields(logrus.Fields{
		"event": "data_centre_checked", "data_centre": dataCentre, "holders": len(holders), "missing": missing.Load(),
	}).Info("checked the replicas of a data centre that seemed partitioned")
	p.mu.Lock()
	defer p.mu.Unlock()
	d.recordCheck(dataCentre, int(missing.Load()), len(holders), time.Now())
}
