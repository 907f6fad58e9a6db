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
	c.learn(ctx, "", request, time.Time{})
	s := c.Snapshot()
	if request.Revision > s.Book.Revision() {
		c.pull(request.From.GetAddress())
	}
	return c.reply(s, request), nil
}

// pull asks the exchange worker to turn to a peer that knows more.
func (c *Controller) pull(address string) {
	select {
	case c.pulls <- address:
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

// takeBook takes over a book that was read from the store at a time and repairs the store when it is behind.
func (c *Controller) takeBook(ctx context.Context, book *mangoprofile.Book, at time.Time) {
	_ = c.apply(ctx, func(s *state) {
		c.adopted(s, book, "store")
		s.confirm(book.Revision(), at)
	})
}

// adopted takes over a newer book, logs it and passes it on to peers.
func (c *Controller) adopted(s *state, book *mangoprofile.Book, source string) {
	before := s.book.Revision()
	if !s.adopt(book) {
		return
	}
	c.logger.WithFields(logrus.Fields{
		"event": "book_adopted", "revision": book.Revision(), "before": before, "source": source,
	}).Info("configuration in force")
	c.wake()
}
