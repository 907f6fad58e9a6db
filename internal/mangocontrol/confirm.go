package mangocontrol

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// confirmTimeout bounds the wait of a call for a confirmation when neither store nor peers answer.
	confirmTimeout = 500 * time.Millisecond
	// confirmBackoff is the time after a failed confirmation during which calls go on at once.
	confirmBackoff = time.Second
	// confirmPeers is the number of peers that are asked beside the store.
	confirmPeers = 2
)

// confirmer lets one goroutine confirm while others wait for it.
type confirmer struct {
	mu       sync.Mutex
	running  chan struct{}
	failedAt time.Time
}

// Resolve returns the profile that a name stands for, after the book was confirmed if its last confirmation is older
// than the freshness bound; when neither store nor peers answer it goes on with the known book.
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

// EnsureFresh confirms the book if its last confirmation is older than the freshness bound and reports whether it is fresh.
func (c *Controller) EnsureFresh(ctx context.Context) bool {
	c.confirmIfStale(ctx)
	return c.IsFresh()
}

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

// join returns a channel to wait on, nil during the backoff; lead is true for the goroutine that has to confirm.
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

func (c *confirmer) finish(ok bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.failedAt = now
	}
	close(c.running)
	c.running = nil
}

// confirmNow asks the store and a few peers at once and returns when the first of them confirmed the book.
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
		}).Warn("routing by an unconfirmed book")
	}
	return fresh
}
