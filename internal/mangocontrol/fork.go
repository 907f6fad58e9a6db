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

// forkRecord counts the forks of the change log that this daemon settled. In a fork, the store and the known book have
// different changes at one revision.
type forkRecord struct {
	count atomic.Uint32
	// last describes the latest fork.
	last atomic.Pointer[string]
}

// Forks returns the number of forks of the change log that this daemon settled since its start, and a description of
// the last one.
func (c *Controller) Forks() (uint32, string) {
	last := c.forkRecord.last.Load()
	if last == nil {
		return 0, ""
	}
	return c.forkRecord.count.Load(), *last
}

// settleFork lets the change log decide which history is kept after a fork and adopts the book with that history. The kept
// history may also be the known one.
func (c *Controller) settleFork(ctx context.Context, known *mangoprofile.Book, fork error, start time.Time) {
	entry := c.logger.WithFields(logrus.Fields{"event": "fork", "revision": known.Revision(), "change": known.LastChangeID(), "fork": fork.Error()})
	book, err := c.changeLog.ResolveFork(ctx, known)
	if err != nil {
		entry.WithError(err).Error("fork of the change log could not be settled")
		return
	}
	if book != known {
		err = c.apply(ctx, func(s *state) { s.replaceForkedBook(book, known) })
	}
	message := fork.Error()
	c.forkRecord.last.Store(&message)
	c.forkRecord.count.Add(1)
	entry.WithFields(logrus.Fields{"kept": book.LastChangeID(), "kept_revision": book.Revision()}).
		Error("fork of the change log settled; changes that are only in the other history are lost and must be proposed again")
	if err == nil {
		c.adoptConfirmedBook(ctx, book, start)
	}
	c.triggerExchange()
}

// replaceForkedBook replaces the known book by one of another history, whatever its revision, unless the known book has been
// replaced meanwhile.
func (s *state) replaceForkedBook(book, known *mangoprofile.Book) {
	if s.book != known {
		return
	}
	s.book = book
	s.directory = s.directory.WithMarks(book.Draining)
	s.viewsStale = true
}

// pollIfForked requests a poll of the change log at once if the error says that a peer's book has another history.
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
