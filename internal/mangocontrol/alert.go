package mangocontrol

import (
	"context"
	"sync"
	"time"
)

// alertTimeout bounds the time for which a crashed call waits until peers have been told of the crash. A peer that does
// not answer within it learns of the crash from later exchanges.
const alertTimeout = 300 * time.Millisecond

// alertRounds lets the calls that were in flight on a crashed host share one round of exchanges that tell peers of the
// crash.
type alertRounds struct {
	mu sync.Mutex
	// running is closed at the end of the round in progress, next at the end of the round after it.
	running chan struct{}
	next    chan struct{}
}

// joinNext joins the next round, which starts after this moment; done is closed at its end. isLeader is true for the
// one caller that has to run the round, once previous is closed.
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

// alertPeers exchanges state with all live peers of the data centre, so that they know of a crash when its calls are
// sent again to them. It returns when they have answered, or after alertTimeout.
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

// exchangeWithDataCentre exchanges state with all live peers of the data centre in parallel.
func (c *Controller) exchangeWithDataCentre(ctx context.Context) {
	var group sync.WaitGroup
	for _, m := range c.Snapshot().Members {
		if m.DataCentre == c.identity.DataCentre {
			group.Go(func() { c.exchangeWith(ctx, m.Address) })
		}
	}
	group.Wait()
}
