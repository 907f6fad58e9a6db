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
func (c *Controller) mergeExchange(ctx context.Context, address string, k exchangeMessage, start time.Time) {
	if k.GetFrom().GetName() == c.identity.Name {
		return
	}
	now := c.now()
	if c.crashTracker != nil {
		c.crashTracker.Merge(k.GetSuspicions(), now)
	}
	if c.rateLimiter != nil {
		c.rateLimiter.Observe(k.GetFrom().GetName(), k.GetUsages(), now)
	}
	_ = c.apply(ctx, func(s *state) { c.mergeState(s, k, now) })
	c.mergeBook(ctx, address, k, start)
}

func (c *Controller) mergeState(s *state, k exchangeMessage, now time.Time) {
	from := k.GetFrom()
	s.updateMember(from, now)
	for _, m := range k.GetMembers() {
		if m.Name != c.identity.Name {
			s.updateMember(m, now.Add(-time.Duration(m.AgeMs)*time.Millisecond))
		}
	}
	s.recordInFlight(from.Name, k.GetShares(), now)
	for _, l := range k.GetLoads() {
		s.mergeLoad(l, now)
	}
	if k.GetHosts() != nil {
		s.adoptHostList(k.GetHosts(), now)
	}
	if m, ok := s.members[from.Name]; ok && k.GetRevision() > m.knownRevision {
		m.knownRevision = k.GetRevision()
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
func (c *Controller) mergeBook(ctx context.Context, address string, k exchangeMessage, start time.Time) {
	book := c.Snapshot().Book
	if k.GetRevision() <= book.Revision() {
		c.mergeConfirmation(ctx, k, start)
		return
	}
	next, err := c.peerBook(ctx, address, book, k)
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "book_not_learned", "peer": address, "revision": k.GetRevision()}).WithError(err).Warn("peer has a newer book that could not be taken over")
		c.pollIfForked(err)
		return
	}
	if next == nil {
		return
	}
	_ = c.apply(ctx, func(s *state) { c.adoptAndAnnounce(s, next, "peer") })
	c.mergeConfirmation(ctx, k, start)
}

// mergeConfirmation takes over a peer's confirmation; an age of the maximal value means that it has none.
func (c *Controller) mergeConfirmation(ctx context.Context, k exchangeMessage, start time.Time) {
	if start.IsZero() || k.GetConfirmedAgeMs() == neverConfirmed {
		return
	}
	at := start.Add(-time.Duration(k.GetConfirmedAgeMs()) * time.Millisecond)
	_ = c.apply(ctx, func(s *state) {
		if s.book.Revision() == k.GetRevision() {
			s.recordConfirmation(k.GetRevision(), at)
		}
	})
}

// peerBook returns the book at the peer's revision, or nil when the peer sent no changes and cannot be asked.
func (c *Controller) peerBook(ctx context.Context, address string, book *mangoprofile.Book, k exchangeMessage) (*mangoprofile.Book, error) {
	if len(k.GetChanges()) > 0 && k.GetChangesFrom() <= book.Revision() {
		return mangopeer.Apply(book, k.GetChangesFrom(), k.GetChanges())
	}
	if address == "" {
		return nil, nil
	}
	return mangopeer.FetchBook(ctx, book, func(ctx context.Context, r *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
		return c.peers.Fetch(ctx, address, r)
	})
}
