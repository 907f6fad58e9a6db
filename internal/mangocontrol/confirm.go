package mangocontrol

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// confirmTimeout bounds the time for which a call waits for a confirmation when neither the store nor peers answer.
	confirmTimeout = 500 * time.Millisecond
	// confirmBackoff is the time after a failed confirmation during which calls go on with the unconfirmed book without
	// waiting.
	confirmBackoff = time.Second
	// confirmPeers is the number of peers that are asked in addition to the store.
	confirmPeers = 2
)

// confirmer lets one goroutine confirm the book while others wait for the result.
type confirmer struct {
	mu sync.Mutex
	// running is closed at the end of the confirmation in progress, nil when there is none.
	running  chan struct{}
	failedAt time.Time
}

// Resolve returns the profile that has a name or alias. It first confirms the book if its last confirmation is older
// than the freshness bound. When neither the store nor peers answer, it uses the known book.
func (c *Controller) Resolve(ctx context.Context, name string) (*mangomessage.Profile, error) {
	c.confirmIfStale(ctx)
	profile, err := c.Snapshot().Book.Resolve(name)
	if err != nil {
		return nil, &Error{Op: "resolve", Kind: KindUnknownName, Err: err}
	}
	return profile, nil
}

// IsFresh reports whether the book was confirmed within the freshness bound.
func (c *Controller) IsFresh() bool {
	return c.now().Sub(c.Snapshot().ConfirmedAt) <= c.timing.FreshnessBound
}

// EnsureFresh confirms the book if its last confirmation is older than the freshness bound, and reports whether it is
// fresh then.
func (c *Controller) EnsureFresh(ctx context.Context) bool {
	c.confirmIfStale(ctx)
	return c.IsFresh()
}

// confirmIfStale confirms the book, or waits until another goroutine has, unless it is fresh or the last attempt failed
// lately.
func (c *Controller) confirmIfStale(ctx context.Context) {
	for !c.IsFresh() {
		wait, isLeader := c.confirmer.join(c.now())
		switch {
		case wait == nil:
			return
		case isLeader:
			ok := c.confirmNow(ctx)
			c.confirmer.finish(ok, c.now())
			if !ok {
				return
			}
		default:
			select {
			case <-wait:
			case <-ctx.Done():
				return
			}
		}
	}
}

// join returns a channel that is closed at the end of the confirmation in progress, or nil during the backoff. isLeader
// is true for the one caller that has to confirm the book and call finish.
func (c *confirmer) join(now time.Time) (wait chan struct{}, isLeader bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil {
		return c.running, false
	}
	if now.Sub(c.failedAt) < confirmBackoff {
		return nil, false
	}
	c.running = make(chan struct{})
	return c.running, true
}

// finish ends the confirmation in progress.
func (c *confirmer) finish(ok bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.failedAt = now
	}
	close(c.running)
	c.running = nil
}

// confirmNow asks the store and a few peers in parallel and returns when the first of them has confirmed the book.
func (c *Controller) confirmNow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	sources := []func(context.Context){c.pollChangeLog}
	for _, address := range c.randomPeers(confirmPeers) {
		sources = append(sources, func(ctx context.Context) { c.exchangeWith(ctx, address) })
	}
	done := make(chan bool, len(sources))
	for _, f := range sources {
		go func() {
			f(ctx)
			done <- c.IsFresh()
		}()
	}
	fresh := false
	for range sources {
		if <-done {
			fresh = true
			break
		}
	}
	cancel()
	if !fresh {
		c.logger.WithFields(logrus.Fields{
			"event": "unconfirmed", "revision": c.Snapshot().Book.Revision(), "confirmed_at": c.Snapshot().ConfirmedAt.Format(time.RFC3339),
		}).Warn("neither the store nor peers confirmed the configuration; routing goes on with the known one")
	}
	return fresh
}
