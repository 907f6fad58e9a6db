package mangocheck

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// findWitness connects to witnesses if the failed check of a replica is the only recent check of this hub. If none of them
// answers, the hub is probably cut off, and the verdict is Withheld.
func (c *Checker) findWitness(ctx context.Context, r *mangoreplica.Replica) {
	c.mu.Lock()
	isNeeded := c.table.NeedsWitness(r.Incarnation(), time.Now())
	c.mu.Unlock()
	witnesses := c.witnesses(r)
	if !isNeeded || len(witnesses) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var found atomic.Bool
	var group sync.WaitGroup
	for _, w := range witnesses {
		group.Go(func() {
			result := c.reach(ctx, w.Address, checkTimeout)
			if ctx.Err() == nil {
				c.observe("Witness", result.String())
			}
			if result != Reachable && result != Ended {
				return
			}
			found.Store(true)
			cancel()
			if result == Reachable {
				c.mu.Lock()
				c.table.RecordWitness(w, time.Now())
				c.mu.Unlock()
				c.onReachable(w)
			}
		})
	}
	group.Wait()
	if !found.Load() {
		c.mu.Lock()
		c.table.MarkUnwitnessed(r.Incarnation())
		c.mu.Unlock()
	}
}

// witnesses returns up to maxWitnesses random other replicas of a replica's service in its data centre.
func (c *Checker) witnesses(r *mangoreplica.Replica) []*mangoreplica.Replica {
	var others []*mangoreplica.Replica
	for _, o := range c.state.View().Fleet.ByService(r.Service) {
		if o.ID != r.ID && o.DataCentre == r.DataCentre {
			others = append(others, o)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxWitnesses)]
}

// reach connects to a replica within a timeout. If that times out while this process is short of processor time, it is retried up to maxRepeats
// times, and the result is Unknown if the last attempt was affected too.
func (c *Checker) reach(ctx context.Context, address string, timeout time.Duration) Result {
	for repeats := 0; ; repeats++ {
		startedAt := time.Now()
		stop := measurePauses(startedAt)
		result := resultOf(c.dialer.Reach(ctx, address, timeout))
		late, longest := time.Since(startedAt)-timeout, stop()
		switch {
		case result != Unreachable || late <= maxLate && longest <= maxPause:
			return result
		case repeats == maxRepeats || ctx.Err() != nil:
			return Unknown
		}
	}
}

// resultOf returns the result of a check from the error of its connection.
func resultOf(err error) Result {
	switch {
	case err == nil:
		return Reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return Ended
	default:
		return Unreachable
	}
}
