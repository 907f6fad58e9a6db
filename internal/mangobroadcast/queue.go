package mangobroadcast

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxQueued bounds the outages, layer reports, orders, paces and limits that wait in a queue, each kind by itself.
const maxQueued = 1024

// LoadReport is the load that daemons put on replicas.
type LoadReport struct {
	Loads []*mangomessage.ReplicaLoad
	// Demand is what these daemons observe of demand.
	Demand *mangomessage.DemandReport
	// Daemons is the number of daemons, at least 1, and Group says that they are a hub and its followers.
	Daemons int
	Group   bool
}

// batch is what is sent to a peer in one message, apart from suspicions.
type batch struct {
	outages      []mangoreplica.Outage
	layerReports []mangoreplica.LayerReport
	// revision is the latest known revision of the store, or 0.
	revision uint64
	claim    *Claim
	orders   []mangolayout.GivenOrder
	paces    []mangoreplica.Pace
	limits   []mangolimit.Limit
	loads    *LoadReport
}

// mergedWith returns the batch with a later one added. The higher revision, the later claim and the later loads replace the
// others.
func (b batch) mergedWith(o batch) batch {
	b.outages = appendBounded(b.outages, o.outages)
	b.layerReports = appendBounded(b.layerReports, o.layerReports)
	b.orders = appendBounded(b.orders, o.orders)
	b.paces = appendBounded(b.paces, o.paces)
	b.limits = appendBounded(b.limits, o.limits)
	b.revision = max(b.revision, o.revision)
	if o.claim != nil {
		b.claim = o.claim
	}
	if o.loads != nil {
		b.loads = o.loads
	}
	return b
}

// forFollowers returns the part of the batch that followers get as announcements: claims concern hubs only, and revisions and loads
// reach followers in another way.
func (b batch) forFollowers() batch {
	b.revision, b.claim, b.loads = 0, nil, nil
	return b
}

// appendBounded appends b to a and drops what exceeds maxQueued. It never appends in place, since the queues of all peers
// share the slices of a batch.
func appendBounded[T any](a, b []T) []T {
	if len(b) == 0 {
		return a
	}
	joined := append(append(make([]T, 0, len(a)+len(b)), a...), b...)
	return joined[:min(len(joined), maxQueued)]
}

// empty reports whether there is nothing to send.
func (b batch) empty() bool {
	return len(b.outages) == 0 && len(b.layerReports) == 0 && len(b.orders) == 0 && len(b.paces) == 0 && len(b.limits) == 0 && b.revision == 0 && b.claim == nil && b.loads == nil
}

// message encodes the batch as a message without suspicions. Times are sent as ages or remaining times, so that clocks need
// not agree.
func (b batch) message(self mangostate.Member, now time.Time) *mangomessage.ExchangeRequest {
	m := &mangomessage.ExchangeRequest{From: &mangomessage.Member{Name: self.Name, DataCentre: self.DataCentre, Address: self.Address}, Revision: b.revision}
	for _, o := range b.outages {
		m.Outages = append(m.Outages, &mangomessage.Outage{
			Replica: o.Replica.ID, Cause: string(o.Cause), AgeMs: milliseconds(now.Sub(o.At)), HoldMs: milliseconds(o.Until.Sub(o.At)), Born: o.Replica.Born,
			Checked: o.Checked,
		})
	}
	for _, r := range b.layerReports {
		m.Sightings = append(m.Sightings, &mangomessage.Sighting{
			Replica: r.Replica.ID, Born: r.Replica.Born, FromLayer: uint32(r.Layers.From), ToLayer: uint32(r.Layers.To),
		})
	}
	for _, o := range b.orders {
		m.GivenOrders = append(m.GivenOrders, &mangomessage.GivenOrder{
			Replica: o.Replica.ID, Born: o.Replica.Born, FromLayer: uint32(o.Layers.From), ToLayer: uint32(o.Layers.To),
			LeftMs: milliseconds(o.Until.Sub(now)),
		})
	}
	for _, p := range b.paces {
		m.Paces = append(m.Paces, &mangomessage.Pace{
			Replica: p.Replica.ID, Born: p.Replica.Born, Slowness: float32(p.Slowness), AgeMs: milliseconds(now.Sub(p.At)),
		})
	}
	for _, l := range b.limits {
		m.RateLimits = append(m.RateLimits, &mangomessage.RateLimit{
			Replica: l.Replica.ID, Born: l.Replica.Born, Named: l.Named, PerSecond: l.PerSecond, AgeMs: milliseconds(now.Sub(l.At)),
		})
	}
	if b.claim != nil {
		m.Claim = &mangomessage.Claim{Fence: b.claim.Fence, Holder: b.claim.Holder}
	}
	if b.loads != nil {
		m.ReplicaLoads, m.GroupSize, m.Demand = b.loads.Loads, uint32(b.loads.Daemons), b.loads.Demand
	}
	return m
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }

// peerQueue holds what is to be sent to one peer. Each peer has its own, so that one that does not answer delays no other.
type peerQueue struct {
	queued batch
	// sending says that a goroutine is sending what is queued.
	sending bool
	// logPosition is the position in the log of the crash tracker up to which the peer has the suspicions.
	logPosition uint64
	// unreachable says that the peer did not answer the last message.
	unreachable bool
}

// sendQueued sends a peer what is queued for it, until nothing is left or the peer does not answer.
func (br *Broadcaster) sendQueued(ctx context.Context, m mangostate.Member, q *peerQueue) {
	for {
		br.mu.Lock()
		b, after := q.queued, q.logPosition
		q.queued = batch{}
		br.mu.Unlock()
		ok := br.sendBatch(ctx, m, q, b, after)
		br.mu.Lock()
		q.unreachable = !ok
		if !ok || q.queued.empty() {
			q.sending = false
			br.mu.Unlock()
			return
		}
		br.mu.Unlock()
	}
}

// sendBatch sends a batch and new suspicions to a peer and reports whether the peer has them. After a failure the suspicions
// are sent again later, but not the batch, which is out of date by then.
func (br *Broadcaster) sendBatch(ctx context.Context, m mangostate.Member, q *peerQueue, b batch, after uint64) bool {
	now := time.Now()
	isHub := br.topology.IsHub()
	suspicions, next := br.crashes.UpdatesToHub(after, isHub, now)
	if b.empty() && len(suspicions) == 0 {
		return true
	}
	message := b.message(br.self, now)
	message.Suspicions, message.Relayed = suspicions, isHub
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if _, err := br.client.Exchange(ctx, m.Address, message); err != nil {
		br.logger.WithFields(logrus.Fields{"event": "peer_unreached", "peer": m.Name, "address": m.Address}).WithError(err).
			Warn("a message to a peer failed")
		return false
	}
	br.mu.Lock()
	q.logPosition = next
	br.mu.Unlock()
	return true
}

// anyUnreachable reports whether some peer did not answer its last message.
func (br *Broadcaster) anyUnreachable() bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	for _, q := range br.peerQueues {
		if q.unreachable {
			return true
		}
	}
	return false
}

// removeQueues removes the queues of all daemons that are not among the peers, unless a goroutine still sends from them.
func (br *Broadcaster) removeQueues(peers []mangostate.Member) {
	known := map[string]bool{}
	for _, m := range peers {
		known[m.Name] = true
	}
	for name, q := range br.peerQueues {
		if !known[name] && !q.sending {
			delete(br.peerQueues, name)
		}
	}
}
