package mangostate

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// watchWait is the time that the store may hold a watch.
	watchWait = 10 * time.Second
	// deafAfter is the time for changes to arrive by the watch after another call has shown that there are some. A watch
	// that is later than that is given up: it may wait on a connection that is dead, or at a store that dropped it.
	deafAfter = 300 * time.Millisecond
	// batchPause is the pause after an answer, so that a burst of changes comes as one. Where many daemons follow the store,
	// the pause between the later answers of a burst is longer, as each answer is paid for by all of them: it grows with
	// the daemons beyond batchDaemons up to batchMax, which leaves time for a configuration to be in force within 2 s.
	batchPause   = 120 * time.Millisecond
	batchDaemons = 8
	batchMax     = 800 * time.Millisecond
	// burstEnd is the time without changes after which the next one counts as the first of a burst.
	burstEnd = 2 * time.Second
	// returnTime is the time after the store's return within which entries that lapsed come back.
	returnTime = 2200 * time.Millisecond
	// maxSightings bounds the sightings that wait for the control goroutine.
	maxSightings = 256
	minPause     = 100 * time.Millisecond
	maxPause     = 800 * time.Millisecond
)

// Controller follows the store. Run owns the state; the other methods are safe for concurrent use.
type Controller struct {
	feed    Feed
	board   *mangoreplica.HealthTracker
	logger  logrus.FieldLogger
	view    atomic.Pointer[View]
	signals []chan struct{}
	outside chan bool
	shown   chan uint64
	seen    chan mangoreplica.LayerReport
	ordered chan mangoreplica.LayerReport
	restart chan struct{}

	state state
}

// Option sets a property of a Controller.
type Option func(*Controller)

// WithLogger sets the logger of changes of belief.
func WithLogger(l logrus.FieldLogger) Option { return func(c *Controller) { c.logger = l } }

// New returns a controller that knows nothing yet.
func New(feed Feed, board *mangoreplica.HealthTracker, opts ...Option) *Controller {
	c := &Controller{
		feed: feed, board: board, logger: logrus.StandardLogger(), outside: make(chan bool, 1),
		shown: make(chan uint64, 1), seen: make(chan mangoreplica.LayerReport, maxSightings),
		ordered: make(chan mangoreplica.LayerReport, maxSightings), restart: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(c)
	}
	c.state = newState(c.logger, returnTime)
	c.view.Store(&View{Fleet: mangoreplica.NewFleet(nil)})
	return c
}

// View returns what is known now.
func (c *Controller) View() *View { return c.view.Load() }

// Holder returns the value of a key of the daemons' own.
func (c *Controller) Holder(key string) (string, bool) { return c.View().Holder(key) }

// Subscribe returns a channel that is signalled after changes of the view. It must be called before Run.
func (c *Controller) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	c.signals = append(c.signals, ch)
	return ch
}

// ReportReachable tells whether a call of another part of this daemon reached the store. It never blocks.
func (c *Controller) ReportReachable(ok bool) {
	select {
	case c.outside <- ok:
	default:
	}
}

// ReportRevision tells that the store was seen at a revision, by a call of this daemon or of another one. It never blocks.
func (c *Controller) ReportRevision(revision uint64) {
	select {
	case c.shown <- revision:
	default:
	}
}

// ReportLayers takes what a replica said of its layers; it holds until the entry changes them. It never blocks.
func (c *Controller) ReportLayers(s mangoreplica.LayerReport) {
	select {
	case c.seen <- s:
	default:
	}
}

// ReportOrder takes the layers that a replica was ordered to hold: it gives up the others at once. It never blocks.
func (c *Controller) ReportOrder(s mangoreplica.LayerReport) {
	select {
	case c.ordered <- s:
	default:
	}
}

// answer is the result of one call to the feed.
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
	inner, cancel := context.WithCancel(ctx)
	go func() {
		defer close(ended)
		c.read(inner, answers)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	// Lapsed entries are dropped and the view's reachability is kept up by the clock, too.
	tick := time.NewTicker(returnTime / 8)
	defer tick.Stop()
	deaf := time.NewTimer(time.Hour)
	defer deaf.Stop()
	awaited := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-answers:
			c.apply(a)
		case ok := <-c.outside:
			if c.state.answered(ok, time.Now()) {
				c.publish()
			}
		case <-tick.C:
			if c.state.sweep(time.Now()) {
				c.publish()
			}
		case s := <-c.seen:
			if c.state.see(s, time.Now()) {
				c.publish()
			}
		case s := <-c.ordered:
			if c.state.narrow(s, time.Now()) {
				c.publish()
			}
		case revision := <-c.shown:
			// A store that counts as lost is no reason to ignore its revision: the watch may have gone silent with it and
			// would miss its return.
			if revision > c.state.revision && awaited <= c.state.revision {
				awaited = revision
				deaf.Reset(deafAfter)
			}
		case <-deaf.C:
			if awaited > c.state.revision {
				c.reread(awaited)
			}
			awaited = 0
		}
	}
}

// reread gives up the watch, whose connection or whose place at the store is lost.
func (c *Controller) reread(awaited uint64) {
	c.logger.WithFields(logrus.Fields{
		"event": "watch_deaf", "revision": c.state.revision, "shown": awaited, "age_ms": time.Since(c.state.at).Milliseconds(),
	}).Warn("changes that the store has did not arrive; the watch is started again")
	select {
	case c.restart <- struct{}{}:
	default:
	}
}

func (c *Controller) apply(a answer) {
	now := time.Now()
	if a.err != nil {
		changed := false
		if !isHistory(a.err) {
			changed = c.state.answered(false, now)
		}
		c.logger.WithFields(logrus.Fields{
			"event": "store_read_failed", "revision": c.state.revision, "age_ms": now.Sub(c.state.at).Milliseconds(),
		}).WithError(a.err).Warn("changes could not be read")
		if changed {
			c.publish()
		}
		return
	}
	changed := c.state.answered(true, now)
	changed = c.state.fold(a, now) || changed
	c.state.revision, c.state.at = a.revision, now
	if changed || !c.state.listed {
		c.state.listed = true
		c.publish()
	}
}

// read calls the feed until the context ends: a snapshot first and after each error, then watches. The snapshot after
// an error is needed because changes made before a restore of the store are in no history.
func (c *Controller) read(ctx context.Context, answers chan<- answer) {
	pause, fresh, revision := minPause, true, uint64(0)
	var last time.Time
	for ctx.Err() == nil {
		a := answer{snapshot: fresh}
		restarted := false
		if fresh {
			a.changes, a.revision, a.err = c.feed.Snapshot(ctx)
		} else {
			a, restarted = c.watch(ctx, revision)
		}
		now := time.Now()
		wait := burstPause(len(c.View().Members), now.Sub(last))
		if len(a.changes) > 0 {
			last = now
		}
		switch {
		case restarted:
			continue
		case a.err == nil:
			fresh, revision, pause = false, max(revision, a.revision), minPause
			if len(a.changes) == 0 {
				wait = 0
			}
		case isHistory(a.err):
			fresh, wait = true, 0
		default:
			// A watch that failed goes on where it stopped; only lost history needs a snapshot.
			wait, pause = pause/2+rand.N(pause), min(2*pause, maxPause)
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

// burstPause returns the pause after an answer with changes, some time after the one before.
func burstPause(daemons int, since time.Duration) time.Duration {
	if since >= burstEnd {
		return batchPause
	}
	return max(batchPause, min(batchPause*time.Duration(daemons)/batchDaemons, batchMax))
}

// watch waits for changes; restarted says that it was given up.
func (c *Controller) watch(ctx context.Context, revision uint64) (a answer, restarted bool) {
	select {
	case <-c.restart:
	default:
	}
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	stopped := make(chan bool, 1)
	go func() {
		select {
		case <-c.restart:
			cancel()
			stopped <- true
		case <-done:
			stopped <- false
		}
	}()
	a.changes, a.revision, a.err = c.feed.Watch(watching, revision, watchWait)
	close(done)
	// An answer that came just before the end counts.
	return a, <-stopped && a.err != nil
}

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

func isHistory(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindCompacted
}

func (c *Controller) publish() {
	v := c.state.view()
	c.view.Store(v)
	c.board.Prune(v.Fleet)
	for _, s := range c.signals {
		select {
		case s <- struct{}{}:
		default:
		}
	}
}
