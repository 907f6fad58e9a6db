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
	// membersSent and loadsSent bound what one exchange relays, to keep within 14 KB/s at 410 daemons.
	membersSent = 20
	loadsSent   = 40
	sharesSent  = 200
	// loadAge is the age up to which a load report is worth relaying.
	loadAge = 4 * time.Second
	// largeFleet is the number of other daemons above which an interval's exchange reaches one peer instead of fanout:
	// a daemon then no longer hears all others within shareLife, and the traffic would pass 14 KB/s.
	largeFleet = 40
)

// exchange swaps knowledge with random peers at intervals and at once when there is news.
func (c *Controller) exchange(ctx context.Context) {
	ended := make(chan struct{}, fanout)
	news := true
	for {
		n := fanout
		if !news && len(c.Snapshot().Members) > largeFleet {
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
		news = c.awaitNews(ctx)
		if ctx.Err() != nil {
			return
		}
	}
}

// awaitNews waits for news or the next interval and reports whether there is news.
func (c *Controller) awaitNews(ctx context.Context) bool {
	interval := c.times.ExchangeInterval
	timer := time.NewTimer(interval*4/5 + rand.N(interval*2/5+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.news:
		return true
	case address := <-c.pulls:
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
	ctx, cancel := context.WithTimeout(ctx, c.times.ExchangeTimeout)
	defer cancel()
	start := c.now()
	snapshot := c.Snapshot()
	request := c.request(snapshot, address)
	var told uint64
	if c.suspects != nil {
		request.Suspicions, told = c.suspects.News(c.cursors.get(address), start)
	}
	reply, err := c.peers.Exchange(ctx, address, request)
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "exchange_failed", "peer": address}).WithError(err).Debug("peer not reached")
		return
	}
	c.cursors.set(address, told)
	c.learn(ctx, address, reply, start)
}
