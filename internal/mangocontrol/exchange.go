package mangocontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangohost"
)

const (
	// fanout is the number of peers that an interval's exchange reaches, and that are told of news at once.
	fanout = 2
	// maxMembersSent and loadsSent bound what one exchange relays, to keep within 14 KB/s at 410 daemons.
	maxMembersSent = 20
	maxLoadsSent   = 40
	maxSharesSent  = 200
	// loadMaxAge is the age up to which a load report is worth relaying.
	loadMaxAge = 4 * time.Second
	// largeFleetPeers is the number of other daemons above which an interval's exchange reaches one peer instead of fanout:
	// a daemon then no longer hears all others within shareLife, and the traffic would pass 14 KB/s.
	largeFleetPeers = 40
)

// runExchanges swaps knowledge with random peers at intervals and at once when there is news.
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

// awaitExchange waits for news or the next interval and reports whether there is news.
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

// randomPeers returns addresses of other entry hosts, taken from the host list, the members heard of and the seeds.
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

// exchangeWith swaps knowledge with one peer and fetches its book when that is too far ahead for changes.
func (c *Controller) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.ExchangeTimeout)
	defer cancel()
	start := c.now()
	snapshot := c.Snapshot()
	request := c.exchangeRequest(snapshot, address)
	var position uint64
	if c.crashTracker != nil {
		request.Suspicions, position = c.crashTracker.News(c.suspicionCursors.get(address), start)
	}
	reply, err := c.peers.Exchange(ctx, address, request)
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "exchange_failed", "peer": address}).WithError(err).Debug("peer not reached")
		return
	}
	c.suspicionCursors.set(address, position)
	c.mergeExchange(ctx, address, reply, start)
}
