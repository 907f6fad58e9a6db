package mangocontrol

import (
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangochain"
)

// Timing holds the intervals and time limits that come from the settings.
type Timing struct {
	PollInterval     time.Duration
	HostListInterval time.Duration
	ExchangeInterval time.Duration
	ExchangeTimeout  time.Duration
	ProbeInterval    time.Duration
	// FreshnessBound is the time for which a confirmation that the book is the newest one holds.
	FreshnessBound time.Duration
}

// Option sets a property of a Controller.
type Option func(*Controller)

// WithLogger sets the logger for events and routing decisions.
func WithLogger(logger *logrus.Logger) Option { return func(c *Controller) { c.logger = logger } }

// WithTiming sets the intervals and time limits.
func WithTiming(timing Timing) Option { return func(c *Controller) { c.timing = timing } }

// WithSeeds sets the addresses of entry hosts that are contacted in addition to those in the host list, so that peers can be
// reached before the list is known.
func WithSeeds(seeds ...string) Option { return func(c *Controller) { c.seeds = seeds } }

// WithLinkDelays sets the one-way network delays between data centres.
func WithLinkDelays(delays map[mangochain.Link]time.Duration) Option {
	return func(c *Controller) { c.linkDelays = delays }
}

// WithCrashTracker sets the tracker that isolates suspect requests; its reports are shared with peers.
func WithCrashTracker(tracker CrashTracker) Option {
	return func(c *Controller) { c.crashTracker = tracker }
}

// WithRateLimiter sets the rate limiter whose usage by customer is shared with peers.
func WithRateLimiter(limiter RateLimiter) Option {
	return func(c *Controller) { c.rateLimiter = limiter }
}
