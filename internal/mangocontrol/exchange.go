package mangocontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangohost"
)

const (
	// fanout is the number of random peers of an exchange, at intervals or when triggered.
	fanout = 2
	// maxMembersSent, maxLoadsSent and maxSharesSent bound the entries of one message. The first two keep a daemon's traffic
	// within 14 KB/s at 410 daemons.
	maxMembersSent = 20
	maxLoadsSent   = 40
	maxSharesSent  = 200
	// loadMaxAge is the age up to which a load report is relayed.
	loadMaxAge = 4 * time.Second
	// largeFleetPeers is the number of other daemons above which an exchange at intervals has one peer instead of
	// fanout. A daemon then no longer hears from all others within inFlightMaxAge, and with two peers its traffic would
	// exceed 14 KB/s.
	largeFleetPeers = 40
)

// runExchanges exchanges state with random peers at intervals, and at once when triggered.
func (c *Controller) runExchanges(ctx context.Context) {
	ended := make(chan struct{}, fanout)
	triggered := true
	for {
		n := fanout
		if !triggered && len(c.Snapshot().Members) > largeFleetPeers {
			n = 1
		}
		peers := c.randomPeers(n)
		for _, address := range peers {
			go func() {
				c.exchangeWith(ctx, address)
				ended <- struct{}{}
			}()
		}
		for range peers {
			<-ended
		}
		triggered = c.awaitExchange(ctx)
		if ctx.Err() != nil {
			return
		}
	}
}

// awaitExchange waits for the next interval or a trigger and reports whether it was a trigger. When a peer's book is
// newer, it first exchanges state with that peer, so that the changes are then passed on.
func (c *Controller) awaitExchange(ctx context.Context) bool {
	interval := c.timing.ExchangeInterval
	timer := time.NewTimer(interval*4/5 + rand.N(interval*2/5+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.exchangeNow:
		return true
	case address := <-c.peersAhead:
		c.exchangeWith(ctx, address)
		return true
	case <-timer.C:
	}
	return false
}

// randomPeers returns the addresses of at most n other entry hosts, out of the live members, the host list and the seeds.
func (c *Controller) randomPeers(n int) []string {
	snapshot := c.Snapshot()
	known := map[string]bool{}
	addresses := make([]string, 0, len(snapshot.Members)+len(c.seeds))
	add := func(address string) {
		if address != "" && address != c.identity.PeerAddress && !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, m := range snapshot.Members {
		add(m.Address)
	}
	for h := range snapshot.Directory.All(mangohost.RoleEntry) {
		add(h.Address)
	}
	for _, address := range c.seeds {
		add(address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// exchangeWith exchanges state with one peer and merges its reply.
func (c *Controller) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.ExchangeTimeout)
	defer cancel()
	start := c.now()
	snapshot := c.Snapshot()
	request := c.exchangeRequest(snapshot, address)
	var position uint64
	if c.crashTracker != nil {
		request.Suspicions, position = c.crashTracker.Updates(c.suspicionCursors.get(address), start)
	}
	reply, err := c.peers.Exchange(ctx, address, request)
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "exchange_failed", "peer": address}).WithError(err).Debug("exchange with peer failed")
		return
	}
	c.suspicionCursors.set(address, position)
	c.mergeExchange(ctx, address, reply, start)
}
