package mangocontrol

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// neverConfirmed is the value of ConfirmedAgeMs that a daemon sends whose book was never confirmed.
const neverConfirmed = math.MaxUint32

// exchangeRequest builds the request for an exchange with a peer. It contains changes of the book only if an earlier message
// of the peer reported a revision below this daemon's.
func (c *Controller) exchangeRequest(s *Snapshot, address string) *mangomessage.ExchangeRequest {
	now := c.now()
	request := &mangomessage.ExchangeRequest{
		From: c.selfMember(), Revision: s.Book.Revision(), ConfirmedAgeMs: confirmationAge(s, now),
		Shares: c.inFlightShares(s), Loads: recentLoads(s, now), Members: randomMembers(s, now), ListAsOfMs: s.Directory.ListAsOfMs(),
	}
	if c.rateLimiter != nil {
		request.Usages = c.rateLimiter.LocalUsages(now)
	}
	if known := s.revisionOfPeer(address); known > 0 && known < s.Book.Revision() {
		request.Changes, request.ChangesFrom = changesSince(s, known)
	}
	return request
}

// exchangeReply builds the reply to a peer's request, with the suspicions, the changes and the host list that the peer
// lacks.
func (c *Controller) exchangeReply(s *Snapshot, request *mangomessage.ExchangeRequest) *mangomessage.ExchangeReply {
	now := c.now()
	reply := &mangomessage.ExchangeReply{
		From: c.selfMember(), Revision: s.Book.Revision(), ConfirmedAgeMs: confirmationAge(s, now),
		Shares: c.inFlightShares(s), Loads: recentLoads(s, now), Members: randomMembers(s, now), ListAsOfMs: s.Directory.ListAsOfMs(),
	}
	if c.crashTracker != nil {
		// A peer that restarted has lost all suspicions, so each incarnation has a cursor of its own.
		peer := fmt.Sprintf("%s#%d", request.GetFrom().GetName(), request.GetFrom().GetIncarnation())
		var next uint64
		reply.Suspicions, next = c.crashTracker.Updates(c.suspicionCursors.get(peer), now)
		c.suspicionCursors.set(peer, next)
	}
	if c.rateLimiter != nil {
		reply.Usages = c.rateLimiter.LocalUsages(now)
	}
	if request.Revision < s.Book.Revision() {
		reply.Changes, reply.ChangesFrom = changesSince(s, request.Revision)
	}
	if request.ListAsOfMs < s.hostListChangedMs {
		reply.Hosts = s.hostList
	}
	return reply
}

// selfMember returns the entry about this daemon in a message to a peer.
func (c *Controller) selfMember() *mangomessage.Member {
	return &mangomessage.Member{
		Name: c.identity.Name, DataCentre: c.identity.DataCentre, Address: c.identity.PeerAddress,
		Leaving: c.leaving.Load(), Incarnation: c.identity.Incarnation,
	}
}

// inFlightShares returns this daemon's calls in flight by upstream host. It returns nothing in a large fleet, where a daemon
// hears from too few peers within inFlightMaxAge to add up their calls and relies on the engines' load reports alone.
func (c *Controller) inFlightShares(s *Snapshot) []*mangomessage.Share {
	if len(s.Members) > largeFleetPeers {
		return nil
	}
	shares := make([]*mangomessage.Share, 0, 16)
	c.meter.EachInFlight(func(host string, n int) {
		if len(shares) < maxSharesSent {
			shares = append(shares, &mangomessage.Share{Host: host, InFlight: uint32(n)})
		}
	})
	return shares
}

// recentLoads returns load reports of engines to relay, none older than loadMaxAge. It starts at a random host, so that
// not all daemons relay the same reports.
func recentLoads(s *Snapshot, now time.Time) []*mangomessage.Load {
	selected := make([]*mangomessage.Load, 0, maxLoadsSent)
	n := s.Directory.Len()
	for i, first := 0, rand.IntN(n+1); i < n && len(selected) < maxLoadsSent; i++ {
		h := s.Directory.At((first + i) % n)
		if age := now.Sub(h.ReportAt); h.Report != nil && age <= loadMaxAge {
			selected = append(selected, &mangomessage.Load{
				Host: h.Name, Running: h.Report.Running, Waiting: h.Report.Waiting, AgeMs: toMilliseconds(age),
			})
		}
	}
	return selected
}

// randomMembers returns a random choice of the live entry hosts to relay.
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

// changesSince returns the changes after a revision and, where the book still has it, the change at that revision, by
// which the receiver detects a fork. The second result is the revision before the first change.
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

// confirmationAge returns the time since the book was last confirmed, in milliseconds, or neverConfirmed.
func confirmationAge(s *Snapshot, now time.Time) uint32 {
	if s.ConfirmedAt.IsZero() {
		return neverConfirmed
	}
	return toMilliseconds(now.Sub(s.ConfirmedAt))
}

// toMilliseconds converts an age for a message and keeps it between 0 and the highest value below neverConfirmed.
func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), neverConfirmed-1))
}
