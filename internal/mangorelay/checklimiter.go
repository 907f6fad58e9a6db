package mangorelay

import (
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// checkLimiter enforces a least time between two checks of the same replica.
type checkLimiter struct {
	mu       sync.Mutex
	interval time.Duration
	last     map[mangoreplica.Incarnation]time.Time
	// reserved has the channels of the checks that have been reserved and have not started.
	reserved map[mangoreplica.Incarnation]chan struct{}
}

func newCheckLimiter(interval time.Duration) *checkLimiter {
	return &checkLimiter{interval: interval, last: map[mangoreplica.Incarnation]time.Time{}, reserved: map[mangoreplica.Incarnation]chan struct{}{}}
}

// reserve returns the channel that is closed when the next check of a replica ends, and the time until that check may start. It
// reports whether the caller has to start it; else it has been reserved before.
func (l *checkLimiter) reserve(r mangoreplica.Incarnation, now time.Time) (end chan struct{}, delay time.Duration, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end, ok := l.reserved[r]; ok {
		return end, 0, false
	}
	end = make(chan struct{})
	l.reserved[r] = end
	return end, max(l.interval-now.Sub(l.last[r]), 0), true
}

// start records the start of a reserved check.
func (l *checkLimiter) start(r mangoreplica.Incarnation, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reserved, r)
	l.record(r, now)
}

// record remembers when a replica was checked, and forgets old checks. The caller holds l.mu.
func (l *checkLimiter) record(r mangoreplica.Incarnation, now time.Time) {
	for k, at := range l.last {
		if now.Sub(at) > time.Minute {
			delete(l.last, k)
		}
	}
	l.last[r] = now
}

// allow reports whether a replica may be checked now, and if so records the check.
func (l *checkLimiter) allow(r mangoreplica.Incarnation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last[r]) < l.interval {
		return false
	}
	l.record(r, now)
	return true
}
