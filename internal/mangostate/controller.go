package mangostate

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangorevision"
)

const (
	// maxWatchWait is the longest time for which the store may hold a watch without changes.
	maxWatchWait = 10 * time.Second
	// maxWatchLag is the time within which the watch must deliver changes that another call has shown to exist. After it the
	// watch is cancelled and started again: its connection may be dead, or the store may have dropped it.
	// It is above the pause that a reader of the store makes in a burst of changes.
	maxWatchLag = 350 * time.Millisecond
	// recoveryGrace is the time that replicas have to renew lapsed entries after the store has returned from a copy.
	recoveryGrace = 2200 * time.Millisecond
	// lapseGrace is the time after the store was last known to be away in which replicas may yet renew lapsed entries: the 2 s that they
	// take, and AwayCallInterval, as the store was back some time before the first call that reached it.
	lapseGrace = 2*time.Second + AwayCallInterval
	// AwayCallInterval bounds the time between the begins of two calls of a hub while the store is away.
	AwayCallInterval = 800 * time.Millisecond
	// expireInterval is the time between two looks for what expires without an event, and missingExpireInterval the same while entries are
	// missing.
	expireInterval        = 275 * time.Millisecond
	missingExpireInterval = 25 * time.Millisecond
	// reportQueueSize bounds the layer reports, and the orders, that wait for Run.
	reportQueueSize = 256
	// minRetryPause and maxRetryPause bound the growing pause after a failed call.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// Controller follows the store and publishes views of it. Run owns the state; the other methods are safe for concurrent
// use, except Subscribe.
type Controller struct {
	feed         Feed
	health       *mangoreplica.HealthTracker
	logger       logrus.FieldLogger
	view         atomic.Pointer[View]
	subscribers  []chan struct{}
	reachability chan bool
	revisions    chan uint64
	layerReports chan mangoreplica.LayerReport
	orders       chan mangoreplica.LayerReport
	restartWatch chan struct{}
	state        state
}

// Option sets a property of a Controller.
type Option func(*Controller)

// WithLogger sets the logger of changes of the state.
func WithLogger(l logrus.FieldLogger) Option {
	return func(c *Controller) { c.logger, c.state.logger = l, l }
}

// WithOutage sets the function that returns when the store was last away; the default is that it never was.
func WithOutage(f func() Outage) Option { return func(c *Controller) { c.state.outage = f } }

// WithDataCentre sets the data centre of this daemon.
func WithDataCentre(name string) Option { return func(c *Controller) { c.state.dataCentre = name } }

// New returns a controller with an empty view. The controller drops what the health tracker holds about replicas that are
// gone.
func New(feed Feed, health *mangoreplica.HealthTracker, opts ...Option) *Controller {
	c := &Controller{
		feed: feed, health: health, logger: logrus.StandardLogger(), reachability: make(chan bool, 1),
		revisions: make(chan uint64, 1), layerReports: make(chan mangoreplica.LayerReport, reportQueueSize),
		orders: make(chan mangoreplica.LayerReport, reportQueueSize), restartWatch: make(chan struct{}, 1), state: newState(logrus.StandardLogger(), recoveryGrace),
	}
	c.state.lapseGrace = lapseGrace
	for _, o := range opts {
		o(c)
	}
	c.view.Store(&View{Fleet: mangoreplica.NewFleet(nil)})
	return c
}

// View returns the latest view.
func (c *Controller) View() *View { return c.view.Load() }

// Holder calls View.Holder on the latest view.
func (c *Controller) Holder(key string) (string, bool) { return c.View().Holder(key) }

// Subscribe returns a channel that is signalled after each change of the view. It must be called before Run.
func (c *Controller) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	c.subscribers = append(c.subscribers, ch)
	return ch
}

// OnKey sets a function that takes each change of a key below a prefix, before a view has it; an empty value means that the key was
// removed. fromCopy says that the store has lately returned from a copy. OnKey must be called before Run.
func (c *Controller) OnKey(prefix string, handle func(key, value string, fromCopy bool)) {
	c.state.keyHandlers = append(c.state.keyHandlers, keyHandler{prefix, handle})
}

// ReportReachable records whether a call that another component of this daemon made reached the store. It never blocks.
func (c *Controller) ReportReachable(ok bool) {
	select {
	case c.reachability <- ok:
	default:
	}
}

// ReportRevision records that this daemon or a peer read a revision from the store. It never blocks.
func (c *Controller) ReportRevision(revision uint64) {
	select {
	case c.revisions <- revision:
	default:
	}
}

// ReportLayers records the layers that a replica reported. They override those of its entry until the entry changes or the
// report expires. It never blocks.
func (c *Controller) ReportLayers(s mangoreplica.LayerReport) {
	select {
	case c.layerReports <- s:
	default:
	}
}

// ReportOrder records the layers that a replica was ordered to hold; it gives up all others at once. It never blocks.
func (c *Controller) ReportOrder(s mangoreplica.LayerReport) {
	select {
	case c.orders <- s:
	default:
	}
}

// answer is the result of one call to the feed; snapshot tells a Snapshot from a Watch.
type answer struct {
	changes  []Change
	revision uint64
	snapshot bool
	err      error
}

// Run follows the store until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	answers := make(chan answer)
	ended := make(chan struct{})
	feedCtx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(ended)
		c.readFeed(feedCtx, answers)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	// Missing entries, layer overrides and the marks of moving replicas expire without any event.
	expiry := time.NewTimer(expireInterval)
	defer expiry.Stop()
	lagTimer := time.NewTimer(time.Hour)
	defer lagTimer.Stop()
	awaited := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-answers:
			c.applyAnswer(a)
		case ok := <-c.reachability:
			if c.state.setReachable(ok, time.Now()) {
				c.publish()
			}
		case <-expiry.C:
			if c.state.expire(time.Now()) {
				c.publish()
			}
			expiry.Reset(c.state.expireInterval())
		case s := <-c.layerReports:
			if c.state.applyLayerReport(s, time.Now()) {
				c.publish()
			}
		case s := <-c.orders:
			if c.state.applyOrder(s, time.Now()) {
				c.publish()
			}
		case revision := <-c.revisions:
			// The revision counts even while the store is taken for unreachable: the watch may have fallen silent with the
			// store and would miss its return.
			if revision > c.state.revision && awaited <= c.state.revision {
				awaited = revision
				lagTimer.Reset(maxWatchLag)
			}
		case <-lagTimer.C:
			if awaited > c.state.revision {
				c.requestWatchRestart(awaited)
			}
			awaited = 0
		}
	}
}

// requestWatchRestart makes readFeed cancel the watch, which did not deliver the awaited revision, and start another one.
func (c *Controller) requestWatchRestart(awaited uint64) {
	c.logger.WithFields(logrus.Fields{
		"event": "watch_deaf", "revision": mangorevision.Text(c.state.revision), "shown": mangorevision.Text(awaited), "age_ms": time.Since(c.state.lastAnswer).Milliseconds(),
	}).Warn("the watch did not deliver changes that the store has; it is restarted")
	select {
	case c.restartWatch <- struct{}{}:
	default:
	}
}

// applyAnswer applies an answer of the feed to the state and publishes a view if anything changed.
func (c *Controller) applyAnswer(a answer) {
	now := time.Now()
	if a.err != nil {
		changed := false
		if !isCompacted(a.err) {
			changed = c.state.setReachable(false, now)
		}
		c.logger.WithFields(logrus.Fields{
			"event": "store_read_failed", "revision": mangorevision.Text(c.state.revision), "age_ms": now.Sub(c.state.lastAnswer).Milliseconds(),
		}).WithError(a.err).Warn("changes could not be read from the store")
		if changed {
			c.publish()
		}
		return
	}
	changed := c.state.setReachable(true, now)
	changed = c.state.recordRevision(a.revision, now) || changed
	changed = c.state.applyAnswer(a, now) || changed
	c.state.revision, c.state.lastAnswer = a.revision, now
	if changed || !c.state.synced {
		c.state.synced = true
		c.publish()
	}
}

// readFeed calls the feed until the context ends. It takes a snapshot first, then watches for changes. It takes another
// snapshot when the store no longer has the history: changes made before a restore of the store are in no history.
func (c *Controller) readFeed(ctx context.Context, answers chan<- answer) {
	retryPause, needSnapshot, revision := minRetryPause, true, uint64(0)
	for ctx.Err() == nil {
		a := answer{snapshot: needSnapshot}
		restarted := false
		if needSnapshot {
			a.changes, a.revision, a.err = c.feed.Snapshot(ctx)
		} else {
			a, restarted = c.watch(ctx, revision)
		}
		var wait time.Duration
		switch {
		case restarted:
			continue
		case a.err == nil:
			needSnapshot, revision, retryPause = false, max(revision, a.revision), minRetryPause
		case isCompacted(a.err):
			needSnapshot = true
		default:
			// The watch is retried from the same revision; only a compacted history needs a snapshot.
			wait, retryPause = retryPause/2+rand.N(retryPause), min(2*retryPause, maxRetryPause)
		}
		select {
		case <-ctx.Done():
			return
		case answers <- a:
		}
		if wait > 0 && !sleep(ctx, wait) {
			return
		}
	}
}

// watch waits for changes after a revision; restarted reports that it was cancelled by requestWatchRestart.
func (c *Controller) watch(ctx context.Context, revision uint64) (a answer, restarted bool) {
	select {
	case <-c.restartWatch:
	default:
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	cancelled := make(chan bool, 1)
	go func() {
		select {
		case <-c.restartWatch:
			cancel()
			cancelled <- true
		case <-done:
			cancelled <- false
		}
	}()
	a.changes, a.revision, a.err = c.feed.Watch(watchCtx, revision, maxWatchWait)
	close(done)
	// An answer that arrived just before the cancellation is still used.
	return a, <-cancelled && a.err != nil
}

// sleep waits for a duration; it reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func isCompacted(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindCompacted
}

// publish makes the current state the latest view and signals the subscribers.
func (c *Controller) publish() {
	v := c.state.view()
	c.view.Store(v)
	c.health.Prune(v.Fleet)
	for _, s := range c.subscribers {
		select {
		case s <- struct{}{}:
		default:
		}
	}
}
