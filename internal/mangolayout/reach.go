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

// reachDoubted checks in the background the data centres that seemed to be cut off.
func (p *Placer) reachDoubted(ctx context.Context, fleet *mangoreplica.Fleet, services []string, now time.Time) {
	for _, dataCentre := range p.clarity.due(now) {
		var holders []*mangoreplica.Replica
		for _, name := range services {
			for _, r := range fleet.ByService(name) {
				if r.DataCentre == dataCentre && r.Layers.Len() > 0 {
					holders = append(holders, r)
				}
			}
		}
		c := p.clarity
		p.running.Go(func() { p.reach(ctx, c, dataCentre, holders) })
	}
}

// reach counts the replicas of a data centre that cannot be connected to.
func (p *Placer) reach(ctx context.Context, c *clarity, dataCentre string, holders []*mangoreplica.Replica) {
	var group sync.WaitGroup
	var missing atomic.Int64
	for _, r := range holders {
		group.Go(func() {
			if p.engines.Reach(ctx, r, reachTimeout) != nil {
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
	c.checked(dataCentre, int(missing.Load()), len(holders), time.Now())
}
