package mangocrash

import "time"

// Option configures a CrashTracker.
type Option func(*CrashTracker)

// WithExpiry sets the time after which a crash no longer counts; the default is 10 min.
func WithExpiry(d time.Duration) Option { return func(t *CrashTracker) { t.expiry = d } }

// WithSettleTime sets the time after a crash by which the reports of all daemons on it have arrived; the default is 2 s.
func WithSettleTime(d time.Duration) Option { return func(t *CrashTracker) { t.settleTime = d } }

// WithCoincidenceWindow sets the time within which crashes of several hosts count as one. It is to be shorter than the time
// that a request which is resent after a crash takes to crash the next host. By default all crashes count separately.
func WithCoincidenceWindow(d time.Duration) Option {
	return func(t *CrashTracker) { t.coincidenceWindow = d }
}

// WithCondemnedExpiry sets the time for which crashes count against a fingerprint that has been blocked; by default it is the
// usual one.
func WithCondemnedExpiry(d time.Duration) Option {
	return func(t *CrashTracker) { t.condemnedExpiry = d }
}

// WithTriers sets the function that returns the names of the daemons that may let one request with a blocked fingerprint
// through, to see whether it still crashes upstreams. Without it nobody may.
func WithTriers(f func() []string) Option { return func(t *CrashTracker) { t.triers = f } }

// WithVerdictHandler sets the function that receives changes of verdicts. It must not block or call the tracker.
func WithVerdictHandler(f func(c Change)) Option { return func(t *CrashTracker) { t.onVerdict = f } }
