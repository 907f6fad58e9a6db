package mangocontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// slotInterval is the least time between changes of the slots; it grows like that between refreshed snapshots.
const slotInterval = 250 * time.Millisecond

// overcommit covers the time that calls spend on links and in the router rather than in a batch.
const overcommit = 1.2

// Slots receives the number of calls of each pool that this daemon may run at once.
type Slots interface {
	SetSlots(pool string, n int)
	Remove(pool string)
}

// ShareSlots sets the slots of each pool of completions at intervals until the context ends.
func (c *Controller) ShareSlots(ctx context.Context, slots Slots) {
	set := map[string]int{}
	for pause(ctx, max(slotInterval, refreshInterval(c.Snapshot().Directory.Len()))) {
		s := c.Snapshot()
		next := c.slots(s)
		for pool, n := range next {
			if set[pool] != n {
				slots.SetSlots(pool, n)
			}
		}
		for pool := range set {
			if _, ok := next[pool]; !ok {
				slots.Remove(pool)
			}
		}
		if c.logger.IsLevelEnabled(logrus.DebugLevel) {
			c.logger.WithFields(logrus.Fields{"event": "slots", "pools": len(next), "daemons": s.Daemons}).Debug("slots shared")
		}
		set = next
	}
}

// slots returns this daemon's part of the capacity of each pool: an equal part, plus an equal part of what is idle.
func (c *Controller) slots(s *Snapshot) map[string]int {
	pools := map[string]int{}
	for _, e := range s.Book.Entries("Profile") {
		profile := e.GetProfile()
		if profile == nil || profile.Kind != KindCompletion {
			continue
		}
		pool := Pool(profile)
		if _, ok := pools[pool]; ok {
			continue
		}
		pools[pool] = c.poolSlots(s, profile)
	}
	return pools
}

func (c *Controller) poolSlots(s *Snapshot, profile *mangomessage.Profile) int {
	view := s.View(profile)
	flow := mangochain.Capacity(view, profile)
	if flow == 0 {
		return 0
	}
	own, peers, layers := 0, 0, 0
	for _, r := range view.Replicas {
		size := int(r.ToLayer - r.FromLayer)
		own += c.meter.InFlight(r.Host) * size
		peers += r.Peers * size
		layers += size
	}
	// A call occupies one replica for each part of the model, so calls in flight weighted by layers count each call once.
	model := int(max(profile.Layers, 1))
	own, peers = own/model, peers/model
	// A call waits at one stage at a time, so that a batch at every stage needs as many calls as there are stages.
	stages := max(1, (model*len(view.Replicas)+layers-1)/max(layers, 1))
	total := int(float64(flow*stages) * overcommit)
	idle := max(total-own-peers, 0)
	return max(total/s.Daemons, own+idle/s.Daemons, 1)
}
