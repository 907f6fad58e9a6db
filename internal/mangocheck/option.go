package mangocheck

import (
	"github.com/sirupsen/logrus"
)

// Option sets a property of a Checker.
type Option func(*Checker)

// WithLogger sets the logger of verdicts.
func WithLogger(l logrus.FieldLogger) Option { return func(c *Checker) { c.logger = l } }

// WithObserver sets the function that counts checks. why is Requested for checks by the first monitor, Confirmed for those by the
// second one and Witness for connections to witnesses; result is a Result, or the Verdict if that is Disputed or Withheld.
func WithObserver(f func(why, result string)) Option { return func(c *Checker) { c.observe = f } }

// WithFollows sets the function that reports whether a daemon follows this hub and so receives its announcements directly.
// Outages are sent one by one to the other daemons that requested a check.
func WithFollows(f func(daemon string) bool) Option { return func(c *Checker) { c.follows = f } }
