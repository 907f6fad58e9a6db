package mangocontrol

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// noConfirmation is the confirmed age of a daemon that never confirmed its book.
const noConfirmation = math.MaxUint32

// request builds what this daemon tells a peer; changes are left out until the peer's revision is known from its reply.
func (c *Controller) request(s *Snapshot, address string) *mangomessage.ExchangeRequest {
	now := c.now()
	request := &mangomessage.ExchangeRequest{
		From: c.self(), Revision: s.Book.Revision(), ConfirmedAgeMs: confirmedAge(s, now),
		Shares: c.shares(s), Loads: loads(s, now), Members: membersOf(s, now), ListAsOfMs: s.Directory.ListAsOf(),
	}
	if c.limits != nil {
		request.Usages = c.limits.Usages(now)
	}
	if known := s.revisionOf(address); known > 0 && known < s.Book.Revision() {
		request.Changes, request.ChangesFrom = changesSince(s, known)
	}
	return request
}

// reply answers a peer with what it lacks.
func (c *Controller) reply(s *Snapshot, request *mangomessage.ExchangeRequest) *mangomessage.ExchangeReply {
	now := c.now()
	reply := &mangomessage.ExchangeReply{
		From: c.self(), Revision: s.Book.Revision(), ConfirmedAgeMs: confirmedAge(s, now),
		Shares: c.shares(s), Loads: loads(s, now), Members: membersOf(s, now), ListAsOfMs: s.Directory.ListAsOf(),
	}
	if c.suspects != nil {
		// A restarted peer knows nothing, so its incarnation is part of the name of its cursor.
		peer := fmt.Sprintf("%s#%d", request.GetFrom().GetName(), request.GetFrom().GetIncarnation())
		var next uint64
		reply.Suspicions, next = c.suspects.News(c.cursors.get(peer), now)
		c.cursors.set(peer, next)
	}
	if c.limits != nil {
		reply.Usages = c.limits.Usages(now)
	}
	if request.Revision < s.Book.Revision() {
		reply.Changes, reply.ChangesFrom = changesSince(s, request.Revision)
	}
	if request.ListAsOfMs < s.listChanged {
		reply.Hosts = s.list
	}
	return reply
}

func (c *Controller) self() *mangomessage.Member {
	return &mangomessage.Member{
		Name: c.identity.Name, DataCentre: c.identity.DataCentre, Address: c.identity.PeerAddress,
		Leaving: c.leaving.Load(), Incarnation: c.identity.Incarnation,
	}
}

// shares are left out of a fleet in which a daemon hears too few others within shareLife for a sum; loads then count alone.
func (c *Controller) shares(s *Snapshot) []*mangomessage.Share {
	if len(s.Members) > largeFleet {
		return nil
	}
	shares := make([]*mangomessage.Share, 0, 16)
	c.meter.Shares(func(host string, n int) {
		if len(shares) < sharesSent {
			shares = append(shares, &mangomessage.Share{Host: host, InFlight: uint32(n)})
		}
	})
	return shares
}

// loads relays reports of engines that are at most loadAge old, chosen at random so that peers do not all relay the same.
func loads(s *Snapshot, now time.Time) []*mangomessage.Load {
	sent := make([]*mangomessage.Load, 0, loadsSent)
	n := s.Directory.Len()
	for i, first := 0, rand.IntN(n+1); i < n && len(sent) < loadsSent; i++ {
		h := s.Directory.At((first + i) % n)
		if age := now.Sub(h.EngineAt); h.Engine != nil && age <= loadAge {
			sent = append(sent, &mangomessage.Load{
				Host: h.Name, Running: h.Engine.Running, Waiting: h.Engine.Waiting, AgeMs: milliseconds(age),
			})
		}
	}
	return sent
}

// membersOf relays a random part of the known entry hosts.
func membersOf(s *Snapshot, now time.Time) []*mangomessage.Member {
	sent := make([]*mangomessage.Member, 0, membersSent)
	for _, i := range rand.Perm(len(s.Members)) {
		if len(sent) == membersSent {
			break
		}
		m := s.Members[i]
		sent = append(sent, &mangomessage.Member{
			Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Leaving: m.Leaving,
			Incarnation: m.Incarnation, AgeMs: milliseconds(now.Sub(s.heard[m.Name])),
		})
	}
	return sent
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

func confirmedAge(s *Snapshot, now time.Time) uint32 {
	if s.ConfirmedAt.IsZero() {
		return noConfirmation
	}
	return milliseconds(now.Sub(s.ConfirmedAt))
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), noConfirmation-1))
}
