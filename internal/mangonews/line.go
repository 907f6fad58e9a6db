package mangonews

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxQueued bounds the outages, the sightings and the orders that wait to be told.
const maxQueued = 1024

// batch is news that is told together.
type batch struct {
	outages      []mangoreplica.Outage
	layerReports []mangoreplica.LayerReport
	// revision is one of the store's; 0 if there is none.
	revision uint64
	claim    *Claim
	orders   []mangolayout.Given
	paces    []mangoreplica.Pace
}

// mergedWith returns the batch mergedWith later news added.
func (b batch) mergedWith(o batch) batch {
	b.outages = appendBounded(b.outages, o.outages)
	b.layerReports = appendBounded(b.layerReports, o.layerReports)
	b.orders = appendBounded(b.orders, o.orders)
	b.paces = appendBounded(b.paces, o.paces)
	b.revision = max(b.revision, o.revision)
	if o.claim != nil {
		b.claim = o.claim
	}
	return b
}

// appendBounded returns a new slice, since lines share the ones that they were given.
func appendBounded[T any](a, b []T) []T {
	if len(b) == 0 {
		return a
	}
	joined := append(append(make([]T, 0, len(a)+len(b)), a...), b...)
	return joined[:min(len(joined), maxQueued)]
}

func (b batch) empty() bool {
	return len(b.outages) == 0 && len(b.layerReports) == 0 && len(b.orders) == 0 && len(b.paces) == 0 && b.revision == 0 && b.claim == nil
}

// message encodes a batch without suspicions.
func (b batch) message(self mangostate.Member, now time.Time) *mangomessage.ExchangeRequest {
	m := &mangomessage.ExchangeRequest{From: &mangomessage.Member{Name: self.Name, Address: self.Address}, Revision: b.revision}
	for _, o := range b.outages {
		m.Outages = append(m.Outages, &mangomessage.Outage{
			Replica: o.Replica.ID, Cause: string(o.Cause), AgeMs: milliseconds(now.Sub(o.At)), HoldMs: milliseconds(o.Until.Sub(o.At)),
		})
	}
	for _, s := range b.layerReports {
		m.Sightings = append(m.Sightings, &mangomessage.Sighting{
			Replica: s.Replica.ID, Born: s.Replica.Born, FromLayer: uint32(s.Layers.From), ToLayer: uint32(s.Layers.To),
		})
	}
	for _, g := range b.orders {
		m.GivenOrders = append(m.GivenOrders, &mangomessage.GivenOrder{
			Replica: g.Replica.ID, Born: g.Replica.Born, FromLayer: uint32(g.Layers.From), ToLayer: uint32(g.Layers.To),
			LeftMs: milliseconds(g.Until.Sub(now)),
		})
	}
	for _, p := range b.paces {
		m.Paces = append(m.Paces, &mangomessage.Pace{
			Replica: p.Replica.ID, Born: p.Replica.Born, Slowness: float32(p.Slowness), AgeMs: milliseconds(now.Sub(p.At)),
		})
	}
	if b.claim != nil {
		m.Claim = &mangomessage.Claim{Fence: b.claim.Fence, Holder: b.claim.Holder}
	}
	return m
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }

// peerQueue is what is to be told to one daemon. Each daemon has its own, so that one that does not answer delays no other.
type peerQueue struct {
	queued batch
	// sending says that a goroutine tells the daemon what waits.
	sending bool
	// logPosition is the position in the log of suspects up to which the daemon was logPosition.
	logPosition uint64
	// unreachable says that the daemon did not answer last time.
	unreachable bool
}

// sendQueued tells a daemon what waits for it until nothing does.
func (n *Broadcaster) sendQueued(ctx context.Context, m mangostate.Member, l *peerQueue) {
	for {
		n.mu.Lock()
		b, after := l.queued, l.logPosition
		l.queued = batch{}
		n.mu.Unlock()
		ok := n.sendBatch(ctx, m, l, b, after)
		n.mu.Lock()
		l.unreachable = !ok
		if !ok || l.queued.empty() {
			l.sending = false
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
	}
}

// sendBatch reports whether the daemon has the news. Those of a failed try are not told again, since they are old by then;
// suspicions are.
func (n *Broadcaster) sendBatch(ctx context.Context, m mangostate.Member, l *peerQueue, b batch, after uint64) bool {
	now := time.Now()
	suspicions, next := n.suspects.NewsFor(m.Name, n.peerCount(), after, now)
	if b.empty() && len(suspicions) == 0 {
		return true
	}
	message := b.message(n.self, now)
	message.Suspicions = suspicions
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if _, err := n.client.Exchange(ctx, m.Address, message); err != nil {
		n.logger.WithFields(logrus.Fields{"event": "peer_unreached", "peer": m.Name, "address": m.Address}).WithError(err).
			Warn("a daemon could not be told the news")
		return false
	}
	n.mu.Lock()
	l.logPosition = next
	n.mu.Unlock()
	return true
}

// peerCount returns the number of daemons that are told the news.
func (n *Broadcaster) peerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peerQueues)
}

func (n *Broadcaster) anyUnreachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.peerQueues {
		if l.unreachable {
			return true
		}
	}
	return false
}

// removeQueues drops the lines of daemons that are no longer told anything.
func (n *Broadcaster) removeQueues(peers []mangostate.Member) {
	known := map[string]bool{}
	for _, m := range peers {
		known[m.Name] = true
	}
	for name, l := range n.peerQueues {
		if !known[name] && !l.sending {
			delete(n.peerQueues, name)
		}
	}
}
