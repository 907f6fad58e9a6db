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

// overcommit covers the time that calls spend waiting for the batch before theirs, on links and in the router: batches
// are full only when calls wait for them. At 1.2, 40 replicas in three stages reached 0.87 of the bound under a load
// of the bound; at 1.75, 1.0.
const overcommit = 1.75

// shareAge is the mean age of the peers' calls in flight: an exchange with two of seven peers every second.
const shareAge = 2 * time.Second

// SlotSetter receives the number of calls of each pool that this daemon may run at once.
type SlotSetter interface {
	SetSlots(pool string, n int)
	Remove(pool string)
}

// AllocateSlots sets the slots of each pool of completions at intervals until the context ends.
func (c *Controller) AllocateSlots(ctx context.Context, slots SlotSetter) {
	set, past := map[string]int{}, history{}
	for pause(ctx, max(slotInterval, refreshInterval(c.Snapshot().Directory.Len()))) {
		s := c.Snapshot()
		next := c.slots(s, past)
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
			c.logger.WithFields(logrus.Fields{"event": "slots", "pools": len(next), "daemons": s.DaemonCount}).Debug("slots shared")
		}
		set = next
	}
}

// slots returns this daemon's part of the capacity of each pool: an equal part, plus an equal part of what is idle.
func (c *Controller) slots(s *Snapshot, past history) map[string]int {
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
		pools[pool] = c.poolSlots(s, profile, past)
	}
	return pools
}

func (c *Controller) poolSlots(s *Snapshot, profile *mangomessage.Profile, past history) int {
	view := s.View(profile)
	flow := mangochain.Capacity(view, profile)
	if flow == 0 {
		return 0
	}
	own, peers, layers := 0, 0, 0
	for _, r := range view.Replicas {
		size := int(r.ToLayer - r.FromLayer)
		own += c.meter.InFlight(r.Host) * size
		peers += r.PeerInFlight * size
		layers += size
	}
	// A call occupies one replica for each part of the model, so calls in flight weighted by layers count each call once.
	model := int(max(profile.Layers, 1))
	own, peers = past.push(PoolName(profile), own/model), peers/model
	// A call waits at one stage at a time, so that a batch at every stage needs as many calls as there are stages.
	stages := max(1, (model*len(view.Replicas)+layers-1)/max(layers, 1))
	return part(int(float64(flow*stages)*overcommit), own, peers, s.DaemonCount)
}

// part returns a daemon's part of the slots: an equal part of all, or what it used plus an equal part of what was idle.
// When the daemons together use more than all, each that is above its equal part gives back an equal part of the excess.
func part(total, own, peers, daemons int) int {
	return max(total/daemons, own+(total-own-peers)/daemons, 1)
}

// history keeps a daemon's own calls by pool for as long as the peers' are old, so that the two are of about the same
// time. With its present calls, a daemon took the idle capacity again at every interval until the peers' reports came:
// eight daemons ran twice the calls that were intended, and went on to.
type history map[string][]int

// push adds the present number of calls and returns the one of shareAge ago.
func (h history) push(pool string, own int) int {
	h[pool] = append(h[pool], own)
	kept := h[pool]
	if extra := len(kept) - int(shareAge/slotInterval) - 1; extra > 0 {
		kept = kept[extra:]
	}
	h[pool] = kept
	return kept[0]
}
