package mangoplatform

import (
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Faults are the faults that the server simulates. A new set replaces the previous one as a whole. A rate or host list delay
// that is not set is the one of the server's options.
type Faults struct {
	// Down refuses all calls of the platform's protocol.
	Down bool
	// DelayMs delays each call before it takes effect.
	DelayMs int64
	// DropReplies is how many of the next writes are executed but break the connection instead of replying.
	DropReplies int
	// DropPrefix limits DropReplies to puts and deletes of keys with the prefix; empty means all writes.
	DropPrefix string
	// ReadRate and WriteRate are the calls per second; 0 means no limit.
	ReadRate  *int
	WriteRate *int
	// HostListFrozen stops changes of the host list, and its AsOfMs, from becoming visible.
	HostListFrozen  bool
	HostListDelayMs *int64
}

// setFaults replaces the faults. The lock must be held, unless the server is still under construction.
func (s *Server) setFaults(f Faults, now time.Time) {
	s.faults = f
	s.hostList.setFrozen(f.HostListFrozen, now)
	setRate(s.readLimiter, valueOr(f.ReadRate, s.readRate))
	setRate(s.writeLimiter, valueOr(f.WriteRate, s.writeRate))
}

// setRate sets the calls per second of a limiter; 0 means no limit. The burst is a quarter of a second's calls, so that no
// second admits more than 1.25 times the rate.
func setRate(l *rate.Limiter, perSecond int) {
	if perSecond <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetBurst(max(1, perSecond/4))
	l.SetLimit(rate.Limit(perSecond))
}

// currentHostListDelay returns the delay of the host list, as set by the faults or the options. The lock must be held.
func (s *Server) currentHostListDelay() time.Duration {
	return time.Duration(valueOr(s.faults.HostListDelayMs, s.hostListDelay.Milliseconds())) * time.Millisecond
}

// replyToWrite replies to an executed write of a key, or breaks the connection if Faults.DropReplies applies. The key is
// empty for leases.
func (s *Server) replyToWrite(w http.ResponseWriter, key string, reply any) {
	s.mu.Lock()
	drop := s.faults.DropReplies > 0 && strings.HasPrefix(key, s.faults.DropPrefix)
	if drop {
		s.faults.DropReplies--
	}
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, reply)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decodeBody(w, r, &f) {
		return
	}
	s.withStore(func(_ *keyStore, now time.Time) {
		s.setFaults(f, now)
		s.wakeWatches()
	})
	writeReply(w, struct{}{})
}

// postHosts replaces the host list. The change becomes visible after the delay.
func (s *Server) postHosts(w http.ResponseWriter, r *http.Request) {
	list := &mangomessage.HostList{}
	if !decodeBody(w, r, list) {
		return
	}
	s.withStore(func(_ *keyStore, now time.Time) { s.hostList.add(list, now.Add(s.currentHostListDelay())) })
	writeReply(w, struct{}{})
}

// postSnapshot saves the keys and leases for postRestore.
func (s *Server) postSnapshot(w http.ResponseWriter, _ *http.Request) {
	s.withStore(func(k *keyStore, _ time.Time) { s.savedStore = k.snapshot() })
	writeReply(w, struct{}{})
}

// postRestore goes back to the keys and leases of the last snapshot; without one it removes all.
func (s *Server) postRestore(w http.ResponseWriter, _ *http.Request) {
	s.withStore(func(k *keyStore, _ time.Time) {
		k.restore(s.savedStore)
		s.wakeWatches()
	})
	writeReply(w, struct{}{})
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counters
	s.mu.Unlock()
	writeReply(w, c)
}

// valueOr returns the value, or the fallback if the value is not set.
func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
