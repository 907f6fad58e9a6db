package mangocontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangochange"
)

// sleepJittered waits for d with a jitter of a fifth, so that daemons do not poll at the same times. It returns false
// when the context ended.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	jittered := d*4/5 + rand.N(d*2/5+1)
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// runChangeLogPolls polls the change log at an interval that is proportional to the number of daemons in the data
// centre, so that the store gets a constant rate of polls from each data centre.
func (c *Controller) runChangeLogPolls(ctx context.Context) {
	for {
		c.pollChangeLog(ctx)
		if !c.awaitPollRequest(ctx, c.timing.PollInterval*time.Duration(c.Snapshot().LocalDaemonCount)) {
			return
		}
	}
}

// awaitPollRequest waits like sleepJittered, but returns earlier when a poll is requested.
func (c *Controller) awaitPollRequest(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d*4/5 + rand.N(d*2/5+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.pollRequests:
	case <-timer.C:
	}
	return true
}

// pollChangeLog reads the change log once and adopts its changes. It repairs a store that is behind and settles a fork.
func (c *Controller) pollChangeLog(ctx context.Context) {
	start := c.now()
	known := c.Snapshot().Book
	book, err := c.changeLog.Poll(ctx, known)
	kind := changeErrorKind(err)
	if kind == mangochange.KindStoreBehind {
		c.repairChangeLog(ctx)
		return
	}
	if kind == mangochange.KindFork {
		c.settleFork(ctx, known, err, start)
		return
	}
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "poll_failed", "revision": known.Revision()}).WithError(err).Warn("change log could not be read")
		return
	}
	c.adoptConfirmedBook(ctx, book, start)
}

// changeErrorKind returns the kind of an error of mangochange, 0 for any other error.
func changeErrorKind(err error) mangochange.Kind {
	var changeErr *mangochange.Error
	if errors.As(err, &changeErr) {
		return changeErr.Kind
	}
	return 0
}

// repairChangeLog writes the known book back to a store that lost accepted changes.
func (c *Controller) repairChangeLog(ctx context.Context) {
	known := c.Snapshot().Book
	if err := c.changeLog.Repair(ctx, known); err != nil {
		c.logger.WithFields(logrus.Fields{"event": "repair_failed", "revision": known.Revision()}).WithError(err).Error("change log could not be repaired")
		return
	}
	c.logger.WithFields(logrus.Fields{"event": "repaired", "revision": known.Revision()}).Warn("change log lacked accepted changes and was repaired")
}

// runHostListPolls reads the host list at an interval that is proportional to the number of daemons in the data centre.
func (c *Controller) runHostListPolls(ctx context.Context) {
	for {
		list, err := c.lister.Hosts(ctx)
		switch {
		case err != nil:
			c.logger.WithFields(logrus.Fields{"event": "list_failed"}).WithError(err).Warn("host list could not be read")
		default:
			_ = c.apply(ctx, func(s *state) { s.adoptHostList(list, c.now()) })
		}
		if !sleepJittered(ctx, c.timing.HostListInterval*time.Duration(c.Snapshot().LocalDaemonCount)) {
			return
		}
	}
}

// PollNow reads the change log now, adopts its changes and passes them on to peers.
func (c *Controller) PollNow(ctx context.Context) { c.pollChangeLog(ctx) }
