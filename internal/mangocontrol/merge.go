package mangocontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// exchangeMessage is the common part of requests and replies of an exchange.
type exchangeMessage interface {
	GetFrom() *mangomessage.Member
	GetRevision() uint64
	GetConfirmedAgeMs() uint32
	GetShares() []*mangomessage.Share
	GetLoads() []*mangomessage.Load
	GetUsages() []*mangomessage.Usage
	GetSuspicions() []*mangomessage.Suspicion
	GetMembers() []*mangomessage.Member
	GetChanges() []*mangomessage.Entry
	GetChangesFrom() uint64
	GetHosts() *mangomessage.HostList
}

// mergeExchange merges a peer's state into this daemon's. For a reply, start is a time before the request was sent. It
// is zero for a request, whose age is unknown, since the request may have waited in a buffer while this daemon was
// paused.
func (c *Controller) mergeExchange(ctx context.Context, address string, message exchangeMessage, start time.Time) {
	if message.GetFrom().GetName() == c.identity.Name {
		return
	}
	now := c.now()
	if c.crashTracker != nil {
		c.crashTracker.Merge(message.GetSuspicions(), now)
	}
	if c.rateLimiter != nil {
		c.rateLimiter.RecordPeerUsages(message.GetFrom().GetName(), message.GetUsages(), now)
	}
	_ = c.apply(ctx, func(s *state) { c.mergeState(s, message, now) })
	c.mergeBook(ctx, address, message, start)
}

// mergeState merges the members, calls in flight, loads and host list of a peer.
func (c *Controller) mergeState(s *state, message exchangeMessage, now time.Time) {
	from := message.GetFrom()
	s.updateMember(from, now)
	for _, m := range message.GetMembers() {
		if m.Name != c.identity.Name {
			s.updateMember(m, now.Add(-time.Duration(m.AgeMs)*time.Millisecond))
		}
	}
	s.recordInFlight(from.Name, message.GetShares(), now)
	for _, l := range message.GetLoads() {
		s.mergeLoad(l, now)
	}
	if message.GetHosts() != nil {
		s.adoptHostList(message.GetHosts(), now)
	}
	if m, ok := s.members[from.Name]; ok && message.GetRevision() > m.knownRevision {
		m.knownRevision = message.GetRevision()
		s.members[from.Name] = m
	}
}

// mergeLoad records a relayed load report of an engine if it is newer than the known one.
func (s *state) mergeLoad(l *mangomessage.Load, now time.Time) {
	at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	s.directory = s.directory.With(l.Host, func(h mangohost.Host) mangohost.Host {
		if h.Report == nil || !at.After(h.ReportAt) {
			return h
		}
		return h.WithLoad(l.Running, l.Waiting, at)
	})
}

// mergeBook brings the book to the peer's revision if that is newer, and merges the peer's confirmation.
func (c *Controller) mergeBook(ctx context.Context, address string, message exchangeMessage, start time.Time) {
	book := c.Snapshot().Book
	if message.GetRevision() <= book.Revision() {
		c.mergeConfirmation(ctx, message, start)
		return
	}
	next, err := c.peerBook(ctx, address, book, message)
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "book_not_learned", "peer": address, "revision": message.GetRevision()}).WithError(err).Warn("newer configuration of a peer not adopted")
		c.pollIfForked(err)
		return
	}
	if next == nil {
		return
	}
	_ = c.apply(ctx, func(s *state) { c.adoptAndAnnounce(s, next, "peer") })
	c.mergeConfirmation(ctx, message, start)
}

// mergeConfirmation records the peer's last confirmation if both books have the same revision. Its age is counted from
// the start of the request, so that a slow reply does not make the confirmation look newer than it is.
func (c *Controller) mergeConfirmation(ctx context.Context, message exchangeMessage, start time.Time) {
	if start.IsZero() || message.GetConfirmedAgeMs() == neverConfirmed {
		return
	}
	at := start.Add(-time.Duration(message.GetConfirmedAgeMs()) * time.Millisecond)
	_ = c.apply(ctx, func(s *state) {
		if s.book.Revision() == message.GetRevision() {
			s.recordConfirmation(message.GetRevision(), at)
		}
	})
}

// peerBook returns the book with the changes that the peer sent, or the peer's whole book when its changes do not
// follow this daemon's revision. It returns nil when pages would have to be fetched but the peer's address is unknown.
func (c *Controller) peerBook(ctx context.Context, address string, book *mangoprofile.Book, message exchangeMessage) (*mangoprofile.Book, error) {
	if len(message.GetChanges()) > 0 && message.GetChangesFrom() <= book.Revision() {
		return mangopeer.Apply(book, message.GetChangesFrom(), message.GetChanges())
	}
	if address == "" {
		return nil, nil
	}
	return mangopeer.FetchBook(ctx, book, func(ctx context.Context, r *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
		return c.peers.Fetch(ctx, address, r)
	})
}
