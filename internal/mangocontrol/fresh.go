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
	mu      sync.Mutex
	running chan struct{}
	failed  time.Time
}

// Resolve returns the profile that a name stands for, after the book was confirmed if its last confirmation is older
// than the freshness bound; when neither store nor peers answer it goes on with the known book.
func (c *Controller) Resolve(ctx context.Context, name string) (*mangomessage.Profile, error) {
	c.refresh(ctx)
	profile, err := c.Snapshot().Book.Resolve(name)
	if err != nil {
		return nil, &Error{Op: "resolve", Kind: KindUnknownName, Err: err}
	}
	return profile, nil
}

// IsFresh reports whether the book was confirmed within the freshness bound.
func (c *Controller) IsFresh() bool {
	return c.now().Sub(c.Snapshot().ConfirmedAt) <= c.times.FreshnessBound
}

// EnsureFresh confirms the book if its last confirmation is older than the freshness bound and reports whether it is fresh.
func (c *Controller) EnsureFresh(ctx context.Context) bool {
	c.refresh(ctx)
	return c.IsFresh()
}

func (c *Controller) refresh(ctx context.Context) {
	for !c.IsFresh() {
		wait, lead := c.confirms.join(c.now())
		switch {
		case wait == nil:
			return
		case lead:
			ok := c.confirm(ctx)
			c.confirms.done(ok, c.now())
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
func (f *confirmer) join(now time.Time) (wait chan struct{}, lead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running != nil {
		return f.running, false
	}
	if now.Sub(f.failed) < confirmBackoff {
		return nil, false
	}
	f.running = make(chan struct{})
	return f.running, true
}

func (f *confirmer) done(ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ok {
		f.failed = now
	}
	close(f.running)
	f.running = nil
}

// confirm asks the store and a few peers at once and returns when the first of them confirmed the book.
func (c *Controller) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	asked := []func(context.Context){c.pollOnce}
	for _, address := range c.randomPeers(confirmPeers) {
		asked = append(asked, func(ctx context.Context) { c.exchangeWith(ctx, address) })
	}
	done := make(chan bool, len(asked))
	for _, f := range asked {
		go func() {
			f(ctx)
			done <- c.IsFresh()
		}()
	}
	fresh := false
	for range asked {
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
