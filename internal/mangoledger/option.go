package mangoledger

import (
	"time"

	"mangopath.org/mangopath/internal/mangostore"
)

// config has the settings of a Ledger.
type config struct {
	retention       time.Duration
	dispatchBound   time.Duration
	leasePeriod     time.Duration
	cacheBytes      int
	queueBytes      int
	queueLength     int
	backgroundStore mangostore.Store
}

// Option sets a property of a Ledger.
type Option func(*config)

func defaultConfig() config {
	return config{
		retention:     24 * time.Hour,
		dispatchBound: 5 * time.Second,
		leasePeriod:   10 * time.Minute,
		cacheBytes:    32 << 20,
		queueBytes:    16 << 20,
		queueLength:   8192,
	}
}

// WithRetention sets how long records are kept at least; the default is 24 h.
func WithRetention(d time.Duration) Option { return func(c *config) { c.retention = d } }

// WithDispatchBound sets how long after the start of Begin a call may still be dispatched; the default is 5 s.
func WithDispatchBound(d time.Duration) Option { return func(c *config) { c.dispatchBound = d } }

// WithCacheBytes bounds the memory for the answers kept for resends; the default is 32 MiB.
func WithCacheBytes(n int) Option { return func(c *config) { c.cacheBytes = n } }

// WithQueue bounds the queued background writes and the total bytes of their answers; the defaults are 8192 and 16 MiB.
// Above the limit of bytes only the digest of an answer is written, and above the limit of writes nothing is.
func WithQueue(writes, bytes int) Option {
	return func(c *config) { c.queueLength, c.queueBytes = writes, bytes }
}

// WithBackgroundStore sets the store for the background writes of Done and NotRun, which may be delayed; the default is
// the store of Begin.
func WithBackgroundStore(store mangostore.Store) Option {
	return func(c *config) { c.backgroundStore = store }
}
