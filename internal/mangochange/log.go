package mangochange

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// DefaultMaxTailEntries is the number of changes in the tail above which it is compacted. Readers transfer the whole
	// tail with each new head.
	DefaultMaxTailEntries = 64
	// DefaultMaxTailBytes is the size of the tail above which it is compacted.
	DefaultMaxTailBytes = 128 << 10
	// forcedCompactionBytes is the size of the tail above which a writer must compact before it adds changes, since a head
	// of 1 MiB or more cannot be stored.
	forcedCompactionBytes = 512 << 10
	// maxPageBytes is the largest encoded size of a page. It stays below the 1 MiB that a value of the store may have.
	maxPageBytes = 1000 << 10
	// fullPollInterval is the number of polls of which one reads the head even if its version is not above the one seen
	// last, since a restored store may be at a lower version.
	fullPollInterval = 8

	// DefaultBaseBackoff is the backoff that doubles with each further attempt on a contended head.
	DefaultBaseBackoff = 5 * time.Millisecond
	// DefaultMaxBackoff limits the backoff before it is randomised.
	DefaultMaxBackoff = 200 * time.Millisecond
	// maxAttempts is the number of times that an operation tries to replace the head.
	maxAttempts = 12
)

// Store is the part of the key-value service that the log uses.
type Store interface {
	Get(ctx context.Context, key string) (mangostore.Item, error)
	GetAfter(ctx context.Context, key string, after uint64) (mangostore.Item, bool, error)
	Put(ctx context.Context, item mangostore.Item) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// Log reads and writes the change log of one store. It is safe for concurrent use.
type Log struct {
	store                   Store
	maxTailEntries          int
	maxTailBytes            int
	logger                  logrus.FieldLogger
	baseBackoff, maxBackoff time.Duration

	mu sync.Mutex
	// book is the newest book that this Log has read or written.
	book *mangoprofile.Book
	// lastSeen is the position of the newest head that this Log has read or written.
	lastSeen  headPosition
	pollCount int
}

// headPosition is the version of the head's key in the store and the revision of the head at that version.
type headPosition struct {
	version  uint64
	revision uint64
}

// Option sets an optional property of a Log.
type Option func(*Log)

// WithTailLimit replaces the number of entries and the size of the tail above which it is compacted.
func WithTailLimit(entries, bytes int) Option {
	return func(l *Log) { l.maxTailEntries, l.maxTailBytes = entries, bytes }
}

// WithBackoff replaces DefaultBaseBackoff and DefaultMaxBackoff.
func WithBackoff(base, longest time.Duration) Option {
	return func(l *Log) { l.baseBackoff, l.maxBackoff = base, longest }
}

// WithLogger replaces the logger of failed compactions and page deletions.
func WithLogger(logger logrus.FieldLogger) Option { return func(l *Log) { l.logger = logger } }

// New returns the change log of a store.
func New(store Store, opts ...Option) *Log {
	l := &Log{
		store: store, maxTailEntries: DefaultMaxTailEntries, maxTailBytes: DefaultMaxTailBytes, logger: logrus.StandardLogger(),
		book: mangoprofile.New(), baseBackoff: DefaultBaseBackoff, maxBackoff: DefaultMaxBackoff,
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// headSnapshot is a head as read from the store, with the version of its key.
type headSnapshot struct {
	version uint64
	head    *mangomessage.Head
}

// readHead reads the head from the store. A store without a head gives an empty one at version 0.
func (l *Log) readHead(ctx context.Context, op string) (headSnapshot, error) {
	item, err := l.store.Get(ctx, HeadKey)
	if err != nil {
		return headSnapshot{}, unavailableError(op, err)
	}
	head, err := decodeHead(item)
	return headSnapshot{version: item.Version, head: head}, err
}

// newerBook returns the newer of the known book and the book of this Log. The error is KindFork when the two have different
// changes at the lower of their revisions.
func (l *Log) newerBook(op string, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	older, newer := known, l.book
	if known.Revision() > l.book.Revision() {
		older, newer = l.book, known
	}
	if id, ok := newer.ChangeIDAt(older.Revision()); ok && id != older.LastChangeID() {
		return known, &Error{Op: op, Kind: KindFork, Err: errors.Errorf(
			"revision %d is change %q in one known book and %q in another", older.Revision(), id, older.LastChangeID())}
	}
	return newer, nil
}

// latestBook returns the newest book that this Log has read or written.
func (l *Log) latestBook() *mangoprofile.Book {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book
}

// recordIfNewer keeps a book and the position of its head as the newest seen, each only if it is newer than the one kept.
func (l *Log) recordIfNewer(book *mangoprofile.Book, p headPosition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if book.Revision() > l.book.Revision() {
		l.book = book
	}
	if p.version > l.lastSeen.version || p.revision > l.lastSeen.revision {
		l.lastSeen = p
	}
}

func unavailableError(op string, err error) error {
	return &Error{Op: op, Kind: KindUnavailable, Err: err}
}
