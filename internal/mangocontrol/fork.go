package mangocontrol

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangoprofile"
)

// forkLog counts the forkLog of the change log that this daemon met and keeps what was said about the last one.
type forkRecord struct {
	count atomic.Uint32
	last  atomic.Pointer[string]
}

// Forks returns the number of forks of the change log that this daemon met since its start, and the last one.
func (c *Controller) Forks() (uint32, string) {
	last := c.forkRecord.last.Load()
	if last == nil {
		return 0, ""
	}
	return c.forkRecord.count.Load(), *last
}

// settleFork takes over the history that stays after a fork, or writes the known one back.
func (c *Controller) settleFork(ctx context.Context, known *mangoprofile.Book, fork error, start time.Time) {
	entry := c.logger.WithFields(logrus.Fields{"event": "fork", "revision": known.Revision(), "change": known.LastID(), "fork": fork.Error()})
	book, err := c.changeLog.Settle(ctx, known)
	if err != nil {
		entry.WithError(err).Error("change log has forked and could not be settled")
		return
	}
	if book != known {
		err = c.apply(ctx, func(s *state) { s.replaceForkedBook(book, known) })
	}
	message := fork.Error()
	c.forkRecord.last.Store(&message)
	c.forkRecord.count.Add(1)
	entry.WithFields(logrus.Fields{"kept": book.LastID(), "kept_revision": book.Revision()}).
		Error("change log had forked; changes of the other history are dropped and have to be proposed again")
	if err == nil {
		c.adoptConfirmedBook(ctx, book, start)
	}
	c.triggerExchange()
}

// replaceForkedBook takes over a book of another history unless the known one changed meanwhile.
func (s *state) replaceForkedBook(book, known *mangoprofile.Book) {
	if s.book != known {
		return
	}
	s.book = book
	s.directory = s.directory.WithMarks(book.Draining)
	s.viewsStale = true
}

// pollIfForked polls the change log at once when a peer's book is of another history.
func (c *Controller) pollIfForked(err error) {
	var peerErr *mangopeer.Error
	if !errors.As(err, &peerErr) || peerErr.Kind != mangopeer.KindFork {
		return
	}
	select {
	case c.pollRequests <- struct{}{}:
	default:
	}
}
