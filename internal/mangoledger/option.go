package mangoledger

import (
	"time"

	"mangopath.org/mangopath/internal/mangostore"
)

type config struct {
	retention  time.Duration
	bound      time.Duration
	bucket     time.Duration
	cacheBytes int
	queueBytes int
	queue      int
	background mangostore.Store
}

// Option sets a property of a Ledger.
type Option func(*config)

func defaults() config {
	return config{
		retention:  24 * time.Hour,
		bound:      5 * time.Second,
		bucket:     10 * time.Minute,
		cacheBytes: 32 << 20,
		queueBytes: 16 << 20,
		queue:      8192,
	}
}

// WithRetention sets the time for which records are kept at least; the default is 24 h.
func WithRetention(d time.Duration) Option { return func(c *config) { c.retention = d } }

// WithDispatchBound sets the time from before the write of a record to the last possible dispatch; the default is 5 s.
func WithDispatchBound(d time.Duration) Option { return func(c *config) { c.bound = d } }

// WithCacheBytes bounds the answers kept in memory for resends; the default is 32 MiB.
func WithCacheBytes(n int) Option { return func(c *config) { c.cacheBytes = n } }

// WithQueue bounds the background writes by number and by bytes of answers; the defaults are 8192 and 16 MiB.
// Past the bytes only the digest of an answer is written, and past the number nothing is.
func WithQueue(writes, bytes int) Option {
	return func(c *config) { c.queue, c.queueBytes = writes, bytes }
}

// WithBackgroundStore sets the store for the writes of Done and NotRun, which may be late; the default is that of Begin.
func WithBackgroundStore(store mangostore.Store) Option {
	return func(c *config) { c.background = store }
}
