package mangocontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Exchange merges the state in a peer's request and returns the reply. When the peer's book is newer and the request did not
// bring it up to date, an exchange with that peer is requested.
func (c *Controller) Exchange(ctx context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	c.mergeExchange(ctx, "", request, time.Time{})
	s := c.Snapshot()
	if request.Revision > s.Book.Revision() {
		c.requestExchange(request.From.GetAddress())
	}
	return c.exchangeReply(s, request), nil
}

// requestExchange requests an exchange with the peer at an address; it is dropped when too many are waiting.
func (c *Controller) requestExchange(address string) {
	select {
	case c.peersAhead <- address:
	default:
	}
}

// Fetch returns one page of the book to a peer.
func (c *Controller) Fetch(_ context.Context, request *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	book := c.Snapshot().Book
	reply := &mangomessage.FetchReply{Revision: book.Revision(), Pages: mangoprofile.PageCount}
	if request.Page < mangoprofile.PageCount {
		reply.Entries = book.Page(int(request.Page))
	}
	return reply, nil
}

// adoptConfirmedBook adopts a book that the store had at the given time and records that time as its confirmation.
func (c *Controller) adoptConfirmedBook(ctx context.Context, book *mangoprofile.Book, at time.Time) {
	_ = c.apply(ctx, func(s *state) {
		c.adoptAndAnnounce(s, book, "store")
		s.recordConfirmation(book.Revision(), at)
	})
}

// adoptAndAnnounce adopts a book if it is newer, logs that and triggers an exchange so that peers get it.
func (c *Controller) adoptAndAnnounce(s *state, book *mangoprofile.Book, source string) {
	before := s.book.Revision()
	if !s.adoptBook(book) {
		return
	}
	c.logger.WithFields(logrus.Fields{
		"event": "book_adopted", "revision": book.Revision(), "before": before, "source": source,
	}).Info("newer configuration adopted")
	c.triggerExchange()
}
