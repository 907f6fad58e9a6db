package mangocontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangochange"
)

// pause waits for about d, give or take a fifth so that daemons do not poll in step, and returns false at the end.
func pause(ctx context.Context, d time.Duration) bool {
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

// pollLog polls the change log at an interval that grows with the daemons of the data centre, so that the store sees
// a constant rate for each data centre.
func (c *Controller) pollLog(ctx context.Context) {
	for {
		c.pollOnce(ctx)
		if !c.awaitPoll(ctx, c.times.PollInterval*time.Duration(c.Snapshot().LocalDaemonCount)) {
			return
		}
	}
}

// awaitPoll waits like pause, or until a poll is asked for.
func (c *Controller) awaitPoll(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d*4/5 + rand.N(d*2/5+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.pollNow:
	case <-timer.C:
	}
	return true
}

// pollOnce reads the change log and takes over what is new.
func (c *Controller) pollOnce(ctx context.Context) {
	start := c.now()
	known := c.Snapshot().Book
	book, err := c.log.Poll(ctx, known)
	kind := kindOf(err)
	if kind == mangochange.KindStoreBehind {
		c.repair(ctx)
		return
	}
	if kind == mangochange.KindFork {
		c.settle(ctx, known, err, start)
		return
	}
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "poll_failed", "revision": known.Revision()}).WithError(err).Warn("change log not read")
		return
	}
	c.takeBook(ctx, book, start)
}

func kindOf(err error) mangochange.Kind {
	var known *mangochange.Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return 0
}

// repair writes the known book back when the store lost accepted changes.
func (c *Controller) repair(ctx context.Context) {
	known := c.Snapshot().Book
	if err := c.log.Repair(ctx, known); err != nil {
		c.logger.WithFields(logrus.Fields{"event": "repair_failed", "revision": known.Revision()}).WithError(err).Error("change log not repaired")
		return
	}
	c.logger.WithFields(logrus.Fields{"event": "repaired", "revision": known.Revision()}).Warn("change log was behind and has been repaired")
}

// pollList reads the host list at an interval that grows with the daemons of the data centre.
func (c *Controller) pollList(ctx context.Context) {
	for {
		list, err := c.lister.Hosts(ctx)
		switch {
		case err != nil:
			c.logger.WithFields(logrus.Fields{"event": "list_failed"}).WithError(err).Warn("host list not read")
		default:
			_ = c.apply(ctx, func(s *state) { s.adoptList(list, c.now()) })
		}
		if !pause(ctx, c.times.HostListInterval*time.Duration(c.Snapshot().LocalDaemonCount)) {
			return
		}
	}
}

// PollNow reads the change log now and passes what is new on to peers.
func (c *Controller) PollNow(ctx context.Context) { c.pollOnce(ctx) }
