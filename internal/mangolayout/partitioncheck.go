package mangolayout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// reachTimeout bounds a connection that only shows that a replica can be reached; it has two attempts.
const reachTimeout = 120 * time.Millisecond

// checkPartitions checks in the background the data centres that seemed to be cut off.
func (p *Placer) checkPartitions(ctx context.Context, fleet *mangoreplica.Fleet, services []string, now time.Time) {
	for _, dataCentre := range p.partitions.startDueChecks(now) {
		var holders []*mangoreplica.Replica
		for _, name := range services {
			for _, r := range fleet.Of(name) {
				if r.DataCentre == dataCentre && r.Layers.Len() > 0 {
					holders = append(holders, r)
				}
			}
		}
		c := p.partitions
		p.running.Go(func() { p.checkDataCentre(ctx, c, dataCentre, holders) })
	}
}

// checkDataCentre counts the replicas of a data centre that cannot be connected to.
func (p *Placer) checkDataCentre(ctx context.Context, c *partitionDetector, dataCentre string, holders []*mangoreplica.Replica) {
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
	}).Info("the replicas of a data centre that seemed to be cut off were checked")
	p.mu.Lock()
	defer p.mu.Unlock()
	c.recordCheck(dataCentre, int(missing.Load()), len(holders), time.Now())
}
