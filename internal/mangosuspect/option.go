package mangosuspect

import "time"

// Option sets a property of Suspects.
type Option func(*Suspects)

// WithExpiry sets the time for which a crash counts; the default is 10 min.
func WithExpiry(d time.Duration) Option { return func(s *Suspects) { s.expiry = d } }

// WithSettle sets the time for the reports of all daemons on a crash to arrive; the default is 2 s.
func WithSettle(d time.Duration) Option { return func(s *Suspects) { s.settle = d } }

// WithTogether sets the time within which crashes of several hosts count as one: a request that is sent on after a crash
// cannot crash the next host sooner. The default is none.
func WithTogether(d time.Duration) Option { return func(s *Suspects) { s.together = d } }
