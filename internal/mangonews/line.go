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

// maxWaiting bounds the outages, the sightings and the orders that wait to be told.
const maxWaiting = 1024

// batch is news that is told together.
type batch struct {
	outages   []mangoreplica.Outage
	sightings []mangoreplica.LayerReport
	// revision is one of the store's; 0 if there is none.
	revision uint64
	claim    *Claim
	given    []mangolayout.GivenOrder
	paces    []mangoreplica.Pace
}

// with returns the batch with later news added.
func (b batch) with(o batch) batch {
	b.outages = bounded(b.outages, o.outages)
	b.sightings = bounded(b.sightings, o.sightings)
	b.given = bounded(b.given, o.given)
	b.paces = bounded(b.paces, o.paces)
	b.revision = max(b.revision, o.revision)
	if o.claim != nil {
		b.claim = o.claim
	}
	return b
}

// bounded returns a new slice, since lines share the ones that they were given.
func bounded[T any](a, b []T) []T {
	if len(b) == 0 {
		return a
	}
	joined := append(append(make([]T, 0, len(a)+len(b)), a...), b...)
	return joined[:min(len(joined), maxWaiting)]
}

func (b batch) empty() bool {
	return len(b.outages) == 0 && len(b.sightings) == 0 && len(b.given) == 0 && len(b.paces) == 0 && b.revision == 0 && b.claim == nil
}

// message encodes a batch without suspicions.
func (b batch) message(self mangostate.Member, now time.Time) *mangomessage.ExchangeRequest {
	m := &mangomessage.ExchangeRequest{From: &mangomessage.Member{Name: self.Name, Address: self.Address}, Revision: b.revision}
	for _, o := range b.outages {
		m.Outages = append(m.Outages, &mangomessage.Outage{
			Replica: o.Replica.ID, Cause: string(o.Cause), AgeMs: milliseconds(now.Sub(o.At)), HoldMs: milliseconds(o.Until.Sub(o.At)),
		})
	}
	for _, s := range b.sightings {
		m.Sightings = append(m.Sightings, &mangomessage.Sighting{
			Replica: s.Replica.ID, Born: s.Replica.Born, FromLayer: uint32(s.Layers.From), ToLayer: uint32(s.Layers.To),
		})
	}
	for _, g := range b.given {
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

// line is what is to be told to one daemon. Each daemon has its own, so that one that does not answer delays no other.
type line struct {
	waiting batch
	// busy says that a goroutine tells the daemon what waits.
	busy bool
	// told is the position in the log of suspects up to which the daemon was told.
	told uint64
	// unreached says that the daemon did not answer last time.
	unreached bool
}

// serve tells a daemon what waits for it until nothing does.
func (n *Broadcaster) serve(ctx context.Context, m mangostate.Member, l *line) {
	for {
		n.mu.Lock()
		b, after := l.waiting, l.told
		l.waiting = batch{}
		n.mu.Unlock()
		ok := n.tell(ctx, m, l, b, after)
		n.mu.Lock()
		l.unreached = !ok
		if !ok || l.waiting.empty() {
			l.busy = false
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
	}
}

// tell reports whether the daemon has the news. Those of a failed try are not told again, since they are old by then;
// suspicions are.
func (n *Broadcaster) tell(ctx context.Context, m mangostate.Member, l *line, b batch, after uint64) bool {
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
	l.told = next
	n.mu.Unlock()
	return true
}

// peerCount returns the number of daemons that are told the news.
func (n *Broadcaster) peerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.lines)
}

func (n *Broadcaster) anyUnreached() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.lines {
		if l.unreached {
			return true
		}
	}
	return false
}

// forget drops the lines of daemons that are no longer told anything.
func (n *Broadcaster) forget(peers []mangostate.Member) {
	known := map[string]bool{}
	for _, m := range peers {
		known[m.Name] = true
	}
	for name, l := range n.lines {
		if !known[name] && !l.busy {
			delete(n.lines, name)
		}
	}
}
