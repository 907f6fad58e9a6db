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
	// DefaultTailEntries bounds the tail, which every reader of a newer head transfers.
	DefaultMaxTailEntries = 64
	// DefaultTailBytes bounds the size of the tail.
	DefaultMaxTailBytes = 128 << 10
	// hardTailBytes is where a writer compacts before it adds to the head, which must stay below 1 MiB.
	hardTailBytes = 512 << 10
	// maxPageBytes leaves room below the 1 MiB that a value may have.
	maxPageBytes = 1000 << 10
	// fullPoll is the number of polls of which one reads the head even if its version is not above the known one, since
	// a restored store may be at a lower version.
	fullPoll = 8

	// DefaultFirstBackoff is the shortest wait before another attempt on a contended head.
	DefaultBaseBackoff = 5 * time.Millisecond
	// DefaultMaxBackoff is the longest wait before another attempt on a contended head.
	DefaultMaxBackoff = 200 * time.Millisecond
	attempts          = 12
)

// Store is the part of the key-value service that the log uses.
type Store interface {
	Get(ctx context.Context, key string) (mangostore.Item, error)
	GetAfter(ctx context.Context, key string, after uint64) (mangostore.Item, bool, error)
	Put(ctx context.Context, item mangostore.Item) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// Log is the change log. It is safe for concurrent use.
type Log struct {
	store       Store
	tailEntries int
	tailBytes   int
	logger      logrus.FieldLogger
	first, most time.Duration

	mu    sync.Mutex
	book  *mangoprofile.Book
	seen  position
	polls int
}

// position is a version of the head's key with the revision it holds.
type position struct {
	version  uint64
	revision uint64
}

// Option sets an optional property of a Log.
type Option func(*Log)

// WithTailLimit replaces the bounds on the tail above which it is compacted.
func WithTailLimit(entries, bytes int) Option {
	return func(l *Log) { l.tailEntries, l.tailBytes = entries, bytes }
}

// WithBackoff replaces the first and the longest wait between attempts.
func WithBackoff(first, most time.Duration) Option {
	return func(l *Log) { l.first, l.most = first, most }
}

// WithLogger sets where failed compactions are logged.
func WithLogger(logger logrus.FieldLogger) Option { return func(l *Log) { l.logger = logger } }

// New returns the log on a store.
func New(store Store, opts ...Option) *Log {
	l := &Log{
		store: store, tailEntries: DefaultMaxTailEntries, tailBytes: DefaultMaxTailBytes, logger: logrus.StandardLogger(),
		book: mangoprofile.New(), first: DefaultBaseBackoff, most: DefaultMaxBackoff,
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// snapshot is the head as it was read.
type snapshot struct {
	version uint64
	head    *mangomessage.Head
}

func (l *Log) readHead(ctx context.Context, op string) (snapshot, error) {
	item, err := l.store.Get(ctx, HeadKey)
	if err != nil {
		return snapshot{}, unavailable(op, err)
	}
	head, err := decodeHead(item)
	return snapshot{version: item.Version, head: head}, err
}

// start returns the newer of the known book and the one that the log saw last.
func (l *Log) start(op string, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	older, newer := known, l.book
	if known.Revision() > l.book.Revision() {
		older, newer = l.book, known
	}
	if id, ok := newer.IDAt(older.Revision()); ok && id != older.LastID() {
		return known, &Error{Op: op, Kind: KindFork, Err: errors.Errorf(
			"revision %d is change %q and %q in two known books", older.Revision(), id, older.LastID())}
	}
	return newer, nil
}

// latest returns the newest book that the log saw.
func (l *Log) latest() *mangoprofile.Book {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book
}

// adopt remembers a book and the position of the head it came from.
func (l *Log) adopt(book *mangoprofile.Book, p position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if book.Revision() > l.book.Revision() {
		l.book = book
	}
	if p.version > l.seen.version || p.revision > l.seen.revision {
		l.seen = p
	}
}

func unavailable(op string, err error) error {
	return &Error{Op: op, Kind: KindUnavailable, Err: err}
}
