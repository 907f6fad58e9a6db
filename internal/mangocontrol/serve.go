package mangocontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Exchange answers a peer's exchange.
func (c *Controller) Exchange(ctx context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	c.mergeExchange(ctx, "", request, time.Time{})
	s := c.Snapshot()
	if request.Revision > s.Book.Revision() {
		c.requestExchange(request.From.GetAddress())
	}
	return c.exchangeReply(s, request), nil
}

// requestExchange asks the exchange worker to turn to a peer that knows more.
func (c *Controller) requestExchange(address string) {
	select {
	case c.peersAhead <- address:
	default:
	}
}

// Fetch returns a page of the book.
func (c *Controller) Fetch(_ context.Context, request *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	book := c.Snapshot().Book
	reply := &mangomessage.FetchReply{Revision: book.Revision(), Pages: mangoprofile.Pages}
	if request.Page < mangoprofile.Pages {
		reply.Entries = book.Page(int(request.Page))
	}
	return reply, nil
}

// adoptConfirmedBook takes over a book that was read from the store at a time and repairs the store when it is behind.
func (c *Controller) adoptConfirmedBook(ctx context.Context, book *mangoprofile.Book, at time.Time) {
	_ = c.apply(ctx, func(s *state) {
		c.adoptAndAnnounce(s, book, "store")
		s.recordConfirmation(book.Revision(), at)
	})
}

// adoptAndAnnounce takes over a newer book, logs it and passes it on to peers.
func (c *Controller) adoptAndAnnounce(s *state, book *mangoprofile.Book, source string) {
	before := s.book.Revision()
	if !s.adoptBook(book) {
		return
	}
	c.logger.WithFields(logrus.Fields{
		"event": "book_adopted", "revision": book.Revision(), "before": before, "source": source,
	}).Info("configuration in force")
	c.triggerExchange()
}
