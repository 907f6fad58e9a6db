package mangocheck

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// WithCutObserver sets the functions that count the connections by which this daemon finds out whether a data centre is cut off, by
// result, and the starts (Cut) and ends (Back, Expired) of such states.
func WithCutObserver(probe func(why, result string), change func(dataCentre, change string)) Option {
	return func(c *Checker) { c.cuts.observeProbe, c.cuts.observeChange = probe, change }
}

// cutWatch is the state by which a Checker finds out which data centres are cut off from this daemon.
type cutWatch struct {
	mu    sync.Mutex
	table *Reachability
	// services has the service of the last silent chain in each data centre, whose replicas are probed.
	services map[string]string
	// wake makes watchCuts look at the table again.
	wake          chan struct{}
	onCut         func(dataCentre string)
	observeProbe  func(why, result string)
	observeChange func(dataCentre, change string)
}

func newCutWatch(local string) *cutWatch {
	return &cutWatch{
		table: NewReachability(local), services: map[string]string{}, wake: make(chan struct{}, 1), onCut: func(string) {}, observeProbe: func(string, string) {},
		observeChange: func(string, string) {},
	}
}

func (w *cutWatch) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// OnCutOff sets the function that is called when a data centre is found cut off. It must be called before Run, and the function must
// not block.
func (c *Checker) OnCutOff(f func(dataCentre string)) { c.cuts.onCut = f }

// CutOff reports whether a data centre counts as cut off from this daemon.
func (c *Checker) CutOff(dataCentre string) bool {
	c.cuts.mu.Lock()
	defer c.cuts.mu.Unlock()
	return c.cuts.table.IsCutOff(dataCentre, time.Now())
}

// HandleAlive takes a sign that a daemon of another data centre is alive: its answer to a message, or a message. It never blocks.
func (c *Checker) HandleAlive(from mangostate.Member) {
	c.recordSignOfLife(from.DataCentre, (*Reachability).Alive)
}

// EventPassed records that an event or the head of an answer of a replica in a data centre has arrived. It never blocks.
func (c *Checker) EventPassed(dataCentre string) {
	c.recordSignOfLife(dataCentre, (*Reachability).EventPassed)
}

// Connected records the time that a connection to a replica in a data centre took. It never blocks.
func (c *Checker) Connected(dataCentre string, took time.Duration) {
	c.cuts.mu.Lock()
	defer c.cuts.mu.Unlock()
	c.cuts.table.Connected(dataCentre, took)
}

// recordSignOfLife records a sign of life of a data centre by a method of Reachability, and logs the end of a cut that this causes.
func (c *Checker) recordSignOfLife(dataCentre string, record func(t *Reachability, dataCentre string, now time.Time) *CutOff) {
	w, now := c.cuts, time.Now()
	w.mu.Lock()
	var ended *CutOff
	if w.table.NeedsSignOfLife(dataCentre, now) {
		ended = record(w.table, dataCentre, now)
	}
	w.mu.Unlock()
	if ended != nil {
		c.logBack(ended, "Back", now)
	}
}

// recordAsked records that checks of replicas have been requested, which opens a round of Reachability for each other data centre of
// these replicas. If that begins an earlier cut again, it announces the cut.
func (c *Checker) recordAsked(replicas []*mangoreplica.Replica) {
	now := time.Now()
	var cuts []*CutOff
	c.cuts.mu.Lock()
	for _, r := range replicas {
		if cut := c.cuts.table.Asked(r.DataCentre, len(c.hubsOf(r.DataCentre)), now); cut != nil {
			cuts = append(cuts, cut)
		}
		c.cuts.services[r.DataCentre] = r.Service
	}
	c.cuts.mu.Unlock()
	c.cuts.signal()
	for _, cut := range cuts {
		c.announceCut(cut)
	}
}

func (c *Checker) hubsOf(dataCentre string) []mangostate.Member {
	var hubs []mangostate.Member
	for _, m := range c.state.View().Members {
		if m.DataCentre == dataCentre {
			hubs = append(hubs, m)
		}
	}
	return hubs
}

// watchCuts probes data centres whose hubs do not answer, and asks the hubs of those that are cut off, until the context ends.
func (c *Checker) watchCuts(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	w := c.cuts
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		w.mu.Lock()
		renewals := w.table.Renewals(now)
		for _, name := range renewals {
			w.table.Renewed(name, len(c.hubsOf(name)), now)
		}
		expired, probes := w.table.Expired(now), w.table.Probes(now)
		next, ok := w.table.Next()
		w.mu.Unlock()
		for _, cut := range expired {
			c.logBack(cut, "Expired", now)
		}
		for _, name := range probes {
			running.Go(func() { c.probe(ctx, name) })
		}
		for _, name := range renewals {
			for _, m := range c.hubsOf(name) {
				c.sender.SendCheckRequests(m, nil)
			}
		}
		timer.Stop()
		if ok {
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.wake:
		}
	}
}

// probe connects to replicas of a data centre whose hubs do not answer, and announces the cut if that decides for one.
func (c *Checker) probe(ctx context.Context, dataCentre string) {
	replicas := c.replicasOf(dataCentre)
	c.cuts.mu.Lock()
	timeout := c.cuts.table.ProbeTimeout(dataCentre)
	c.cuts.mu.Unlock()
	results := c.connectToAny(ctx, dataCentre, replicas, timeout)
	c.cuts.mu.Lock()
	cut := c.cuts.table.Probed(dataCentre, results, time.Now())
	c.cuts.mu.Unlock()
	c.cuts.signal()
	if cut != nil && ctx.Err() == nil {
		c.announceCut(cut)
	}
}

// connectToAny connects to replicas of a data centre side by side and returns their results. The first one that is reached ends the
// other connections, whose results are Unknown.
func (c *Checker) connectToAny(ctx context.Context, dataCentre string, replicas []*mangoreplica.Replica, timeout time.Duration) []Result {
	results := make([]Result, len(replicas))
	probeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for i, r := range replicas {
		group.Go(func() {
			results[i] = c.reach(probeCtx, r.Address, timeout)
			if probeCtx.Err() != nil {
				results[i] = Unknown
				return
			}
			c.cuts.observeProbe("CutOff", results[i].String())
			if results[i] == Reachable || results[i] == Ended {
				c.recordSignOfLife(dataCentre, (*Reachability).Alive)
				cancel()
			}
		})
	}
	group.Wait()
	return results
}

// announceCut logs and counts the start of a cut and wakes the streams in that data centre.
func (c *Checker) announceCut(cut *CutOff) {
	c.cuts.observeChange(cut.DataCentre, "Cut")
	c.logger.WithFields(logrus.Fields{
		"event": "data_centre_cut", "data_centre": cut.DataCentre, "hubs": cut.Hubs, "replicas": cut.Replicas, "last_heard_ms": sinceAlive(cut),
	}).Warn("no hub and no probed replica of a data centre answers; it counts as cut off from this daemon and is avoided")
	c.cuts.onCut(cut.DataCentre)
}

// sinceAlive returns the milliseconds from the last sign of life to the verdict; -1 if there was none.
func sinceAlive(cut *CutOff) int64 {
	if cut.AliveAt.IsZero() {
		return -1
	}
	return cut.Since.Sub(cut.AliveAt).Milliseconds()
}

// replicasOf returns up to probedReplicas random replicas of a data centre.
func (c *Checker) replicasOf(dataCentre string) []*mangoreplica.Replica {
	c.cuts.mu.Lock()
	service := c.cuts.services[dataCentre]
	c.cuts.mu.Unlock()
	var list []*mangoreplica.Replica
	for _, r := range c.state.View().Fleet.ByService(service) {
		if r.DataCentre == dataCentre {
			list = append(list, r)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), probedReplicas)]
}

// logBack logs and counts the end of a cut; change is Back after a sign of life, or Expired.
func (c *Checker) logBack(cut *CutOff, change string, now time.Time) {
	c.cuts.observeChange(cut.DataCentre, change)
	c.logger.WithFields(logrus.Fields{
		"event": "data_centre_back", "data_centre": cut.DataCentre, "reason": change, "cut_ms": now.Sub(cut.Since).Milliseconds(),
	}).Info("a data centre no longer counts as cut off from this daemon")
}
