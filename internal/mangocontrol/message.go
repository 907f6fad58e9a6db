package mangocontrol

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// neverConfirmed is the confirmed age of a daemon that never confirmed its book.
const neverConfirmed = math.MaxUint32

// exchangeRequest builds what this daemon tells a peer; changes are left out until the peer's revision is known from its reply.
func (c *Controller) exchangeRequest(s *Snapshot, address string) *mangomessage.ExchangeRequest {
	now := c.now()
	request := &mangomessage.ExchangeRequest{
		From: c.selfMember(), Revision: s.Book.Revision(), ConfirmedAgeMs: confirmationAge(s, now),
		Shares: c.inFlightShares(s), Loads: recentLoads(s, now), Members: randomMembers(s, now), ListAsOfMs: s.Directory.ListAsOf(),
	}
	if c.rateLimiter != nil {
		request.Usages = c.rateLimiter.Usages(now)
	}
	if known := s.revisionOfPeer(address); known > 0 && known < s.Book.Revision() {
		request.Changes, request.ChangesFrom = changesSince(s, known)
	}
	return request
}

// exchangeReply answers a peer with what it lacks.
func (c *Controller) exchangeReply(s *Snapshot, request *mangomessage.ExchangeRequest) *mangomessage.ExchangeReply {
	now := c.now()
	reply := &mangomessage.ExchangeReply{
		From: c.selfMember(), Revision: s.Book.Revision(), ConfirmedAgeMs: confirmationAge(s, now),
		Shares: c.inFlightShares(s), Loads: recentLoads(s, now), Members: randomMembers(s, now), ListAsOfMs: s.Directory.ListAsOf(),
	}
	if c.crashTracker != nil {
		// A restarted peer knows nothing, so its incarnation is part of the name of its cursor.
		peer := fmt.Sprintf("%s#%d", request.GetFrom().GetName(), request.GetFrom().GetIncarnation())
		var next uint64
		reply.Suspicions, next = c.crashTracker.News(c.suspicionCursors.get(peer), now)
		c.suspicionCursors.set(peer, next)
	}
	if c.rateLimiter != nil {
		reply.Usages = c.rateLimiter.Usages(now)
	}
	if request.Revision < s.Book.Revision() {
		reply.Changes, reply.ChangesFrom = changesSince(s, request.Revision)
	}
	if request.ListAsOfMs < s.hostListChangedMs {
		reply.Hosts = s.hostList
	}
	return reply
}

func (c *Controller) selfMember() *mangomessage.Member {
	return &mangomessage.Member{
		Name: c.identity.Name, DataCentre: c.identity.DataCentre, Address: c.identity.PeerAddress,
		Leaving: c.leaving.Load(), Incarnation: c.identity.Incarnation,
	}
}

// inFlightShares are left out of a fleet in which a daemon hears too few others within shareLife for a sum; loads then count alone.
func (c *Controller) inFlightShares(s *Snapshot) []*mangomessage.Share {
	if len(s.Members) > largeFleetPeers {
		return nil
	}
	shares := make([]*mangomessage.Share, 0, 16)
	c.meter.Shares(func(host string, n int) {
		if len(shares) < maxSharesSent {
			shares = append(shares, &mangomessage.Share{Host: host, InFlight: uint32(n)})
		}
	})
	return shares
}

// recentLoads relays reports of engines that are at most loadAge old, chosen at random so that peers do not all relay the same.
func recentLoads(s *Snapshot, now time.Time) []*mangomessage.Load {
	selected := make([]*mangomessage.Load, 0, maxLoadsSent)
	n := s.Directory.Len()
	for i, first := 0, rand.IntN(n+1); i < n && len(selected) < maxLoadsSent; i++ {
		h := s.Directory.At((first + i) % n)
		if age := now.Sub(h.EngineAt); h.Engine != nil && age <= loadMaxAge {
			selected = append(selected, &mangomessage.Load{
				Host: h.Name, Running: h.Engine.Running, Waiting: h.Engine.Waiting, AgeMs: toMilliseconds(age),
			})
		}
	}
	return selected
}

// randomMembers relays a random part of the known entry hosts.
func randomMembers(s *Snapshot, now time.Time) []*mangomessage.Member {
	selected := make([]*mangomessage.Member, 0, maxMembersSent)
	for _, i := range rand.Perm(len(s.Members)) {
		if len(selected) == maxMembersSent {
			break
		}
		m := s.Members[i]
		selected = append(selected, &mangomessage.Member{
			Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Leaving: m.Leaving,
			Incarnation: m.Incarnation, AgeMs: toMilliseconds(now.Sub(s.heardAt[m.Name])),
		})
	}
	return selected
}

// changesSince returns the changes after a revision and the one at it, by which the receiver notices that its history
// is another.
func changesSince(s *Snapshot, revision uint64) ([]*mangomessage.Entry, uint64) {
	if revision > 0 {
		if changes, ok := mangopeer.Delta(s.Book, revision-1); ok {
			return changes, revision - 1
		}
	}
	changes, ok := mangopeer.Delta(s.Book, revision)
	if !ok {
		return nil, 0
	}
	return changes, revision
}

func confirmationAge(s *Snapshot, now time.Time) uint32 {
	if s.ConfirmedAt.IsZero() {
		return neverConfirmed
	}
	return toMilliseconds(now.Sub(s.ConfirmedAt))
}

func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), neverConfirmed-1))
}
