package mangocontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// slotUpdateInterval is the least time between updates of the slots. It grows with the refresh interval of snapshots.
const slotUpdateInterval = 250 * time.Millisecond

// overcommitFactor is the number of admitted calls per place in a batch. It covers the time that calls spend on links,
// in the router and waiting for the batch before theirs, since batches are full only when calls wait for them. Under a
// load of mangochain.MaxThroughput, 40 replicas in three stages reached 0.87 of that bound with a factor of 1.2, and 1.0
// of it with 1.75.
const overcommitFactor = 1.75

// meanReportAge is the mean age of the peers' reports of calls in flight when a daemon exchanges state with two of
// seven peers every second.
const meanReportAge = 2 * time.Second

// SlotSetter limits the calls of each pool that run at the same time to the number of slots set for it.
type SlotSetter interface {
	SetSlots(pool string, n int)
	Remove(pool string)
}

// AllocateSlots sets the number of slots of each pool that serves completions, at intervals until the context ends.
func (c *Controller) AllocateSlots(ctx context.Context, slots SlotSetter) {
	current, history := map[string]int{}, inFlightHistory{}
	for sleepJittered(ctx, max(slotUpdateInterval, refreshInterval(c.Snapshot().Directory.Len()))) {
		s := c.Snapshot()
		next := c.slotsByPool(s, history)
		for pool, n := range next {
			if current[pool] != n {
				slots.SetSlots(pool, n)
			}
		}
		for pool := range current {
			if _, ok := next[pool]; !ok {
				slots.Remove(pool)
			}
		}
		if c.logger.IsLevelEnabled(logrus.DebugLevel) {
			c.logger.WithFields(logrus.Fields{"event": "slots", "pools": len(next), "daemons": s.DaemonCount}).Debug("slots allocated")
		}
		current = next
	}
}

// slotsByPool returns this daemon's slots by pool.
func (c *Controller) slotsByPool(s *Snapshot, history inFlightHistory) map[string]int {
	pools := map[string]int{}
	for _, e := range s.Book.Entries("Profile") {
		profile := e.GetProfile()
		if profile == nil || profile.Kind != KindCompletion {
			continue
		}
		pool := PoolName(profile)
		if _, ok := pools[pool]; ok {
			continue
		}
		pools[pool] = c.poolSlots(s, profile, history)
	}
	return pools
}

// poolSlots returns this daemon's slots of the pool that serves a profile.
func (c *Controller) poolSlots(s *Snapshot, profile *mangomessage.Profile, history inFlightHistory) int {
	view := s.View(profile)
	capacity := mangochain.Capacity(view, profile)
	if capacity == 0 {
		return 0
	}
	own, peers, layers := 0, 0, 0
	for _, r := range view.Replicas {
		size := int(r.ToLayer - r.FromLayer)
		own += c.meter.InFlight(r.Host) * size
		peers += r.PeerInFlight * size
		layers += size
	}
	// A call is in flight on one replica for each range of layers, so weighting by layers counts each call once.
	model := int(max(profile.Layers, 1))
	own, peers = history.push(PoolName(profile), own/model), peers/model
	// A call is at one stage at a time, so full batches at all stages need the capacity times the number of stages.
	stages := max(1, (model*len(view.Replicas)+layers-1)/max(layers, 1))
	return daemonSlots(int(float64(capacity*stages)*overcommitFactor), own, peers, s.DaemonCount)
}

// daemonSlots returns a daemon's share of all slots: an equal share, or the slots that it used plus an equal share of
// the idle ones if that is more. When the daemons together use more than all slots, each one that is above its equal
// share gives back an equal share of the excess.
func daemonSlots(total, own, peers, daemons int) int {
	return max(total/daemons, own+(total-own-peers)/daemons, 1)
}

// inFlightHistory keeps a daemon's own number of calls by pool for meanReportAge, so that it can be compared with the
// peers' reports, which are about that old. When daemons used the present number instead, each took the same idle slots
// again at every interval until the reports of its peers arrived, and eight daemons permanently ran twice the intended
// number of calls.
type inFlightHistory map[string][]int

// push adds the present number of calls of a pool and returns the oldest one kept, from about meanReportAge ago.
func (h inFlightHistory) push(pool string, own int) int {
	h[pool] = append(h[pool], own)
	counts := h[pool]
	if extra := len(counts) - int(meanReportAge/slotUpdateInterval) - 1; extra > 0 {
		counts = counts[extra:]
	}
	h[pool] = counts
	return counts[0]
}
