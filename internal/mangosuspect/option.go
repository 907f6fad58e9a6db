package mangosuspect

import "time"

// Option sets a property of Suspects.
type Option func(*CrashTracker)

// WithExpiry sets the time for which a crash counts; the default is 10 min.
func WithExpiry(d time.Duration) Option { return func(s *CrashTracker) { s.expiry = d } }

// WithSettleTime sets the time for the reports of all daemons on a crash to arrive; the default is 2 s.
func WithSettleTime(d time.Duration) Option { return func(s *CrashTracker) { s.settle = d } }

// WithCoincidenceWindow sets the time within which crashes of several hosts count as one: a request that is sent on after a crash
// cannot crash the next host sooner. The default is none.
func WithCoincidenceWindow(d time.Duration) Option { return func(s *CrashTracker) { s.together = d } }
