package mangocontrol

import (
	"context"
	"sync"
	"time"
)

// alertTimeout bounds the wait of a crashed call for peers to know. A peer that does not answer within it learns of the
// crash from later exchanges.
const alertTimeout = 300 * time.Millisecond

// alertRounds lets the calls that were aboard one crashed host share the exchanges that tell peers.
type alertRounds struct {
	mu sync.Mutex
	// running is the round that tells peers now, next the one that starts after it.
	running chan struct{}
	next    chan struct{}
}

// joinNext returns a channel that is closed at the end of a round that starts after this moment; lead is true for the one
// caller that has to run it, after waiting for before.
func (a *alertRounds) joinNext() (done, previous chan struct{}, isLeader bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.next != nil {
		return a.next, nil, false
	}
	a.next = make(chan struct{})
	return a.next, a.running, true
}

// begin makes the next round the running one.
func (a *alertRounds) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running, a.next = a.next, nil
}

// alertPeers tells all live peers of the data centre what this daemon knows and returns when they have answered, at the
// latest after the alert's time. A resend of a crashed call to another entry host then meets a daemon that knows.
func (c *Controller) alertPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, alertTimeout)
	defer cancel()
	done, previous, isLeader := c.alertRounds.joinNext()
	if isLeader {
		if previous != nil {
			<-previous
		}
		c.alertRounds.begin()
		c.exchangeWithDataCentre(ctx)
		close(done)
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// exchangeWithDataCentre swaps knowledge with all live peers of the data centre at once.
func (c *Controller) exchangeWithDataCentre(ctx context.Context) {
	var group sync.WaitGroup
	for _, m := range c.Snapshot().Members {
		if m.DataCentre == c.identity.DataCentre {
			group.Go(func() { c.exchangeWith(ctx, m.Address) })
		}
	}
	group.Wait()
}
