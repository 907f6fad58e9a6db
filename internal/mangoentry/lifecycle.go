package mangoentry

import (
	"sync/atomic"
	"time"
)

// lifecycle counts the requests in flight and knows whether the daemon is stopping. It is safe for concurrent use.
type lifecycle struct {
	activeRequests atomic.Int64
	// cutoff is nil until the daemon is told to stop.
	cutoff atomic.Pointer[requestCutoff]
}

// requestCutoff has the times after which a stopping daemon refuses new streams, and new requests of any kind.
type requestCutoff struct{ streams, requests time.Time }

func newLifecycle() *lifecycle { return &lifecycle{} }

// beginShutdown marks the daemon as stopping. New streams are refused after one time and all requests after the other, as
// they would not end within the grace period.
func (l *lifecycle) beginShutdown(streams, requests time.Time) {
	l.cutoff.Store(&requestCutoff{streams, requests})
}

// isStopping reports whether the daemon has been told to stop.
func (l *lifecycle) isStopping() bool { return l.cutoff.Load() != nil }

// refusesNew reports whether the daemon refuses new streams, or new requests of other kinds if stream is false.
func (l *lifecycle) refusesNew(stream bool) bool {
	c := l.cutoff.Load()
	switch {
	case c == nil:
		return false
	case stream && time.Now().After(c.streams):
		return true
	default:
		return time.Now().After(c.requests)
	}
}
