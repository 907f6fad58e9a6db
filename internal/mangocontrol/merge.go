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

// exchangeMessage is the common content of requests and replies.
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

// mergeExchange takes over what a peer knows; start is the time before its answer was asked for, and zero for a request, whose
// age cannot be told: it may have waited in a buffer while this daemon was paused.
func (c *Controller) mergeExchange(ctx context.Context, address string, message exchangeMessage, start time.Time) {
	if message.GetFrom().GetName() == c.identity.Name {
		return
	}
	now := c.now()
	if c.crashTracker != nil {
		c.crashTracker.Merge(message.GetSuspicions(), now)
	}
	if c.rateLimiter != nil {
		c.rateLimiter.Observe(message.GetFrom().GetName(), message.GetUsages(), now)
	}
	_ = c.apply(ctx, func(s *state) { c.mergeState(s, message, now) })
	c.mergeBook(ctx, address, message, start)
}

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

// mergeLoad takes over a relayed load report if it is newer than the known one.
func (s *state) mergeLoad(l *mangomessage.Load, now time.Time) {
	at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	s.directory = s.directory.With(l.Host, func(h mangohost.Host) mangohost.Host {
		if h.Engine == nil || !at.After(h.EngineAt) {
			return h
		}
		return h.WithLoad(l.Running, l.Waiting, at)
	})
}

// mergeBook applies the peer's changes, or fetches its pages when changes do not reach.
func (c *Controller) mergeBook(ctx context.Context, address string, message exchangeMessage, start time.Time) {
	book := c.Snapshot().Book
	if message.GetRevision() <= book.Revision() {
		c.mergeConfirmation(ctx, message, start)
		return
	}
	next, err := c.peerBook(ctx, address, book, message)
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "book_not_learned", "peer": address, "revision": message.GetRevision()}).WithError(err).Warn("peer has a newer book that could not be taken over")
		c.pollIfForked(err)
		return
	}
	if next == nil {
		return
	}
	_ = c.apply(ctx, func(s *state) { c.adoptAndAnnounce(s, next, "peer") })
	c.mergeConfirmation(ctx, message, start)
}

// mergeConfirmation takes over a peer's confirmation; an age of the maximal value means that it has none.
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

// peerBook returns the book at the peer's revision, or nil when the peer sent no changes and cannot be asked.
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
