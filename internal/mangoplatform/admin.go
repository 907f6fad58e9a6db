package mangoplatform

import (
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Faults replace all earlier faults. Absent rates and delays mean those that the server was started with.
type Faults struct {
	Down    bool
	DelayMs int64
	// DropReplies is the number of next write replies to drop after the effect.
	DropReplies int
	// DropPrefix limits DropReplies to puts and deletes of keys with the prefix; empty means all writes.
	DropPrefix      string
	ReadRate        *int
	WriteRate       *int
	HostListFrozen  bool
	HostListDelayMs *int64
}

// setFaults is called with the lock held, or before the server is shared.
func (s *Server) setFaults(f Faults, now time.Time) {
	s.faults = f
	s.hostList.setFrozen(f.HostListFrozen, now)
	setRate(s.readLimiter, valueOr(f.ReadRate, s.readRate))
	setRate(s.writeLimiter, valueOr(f.WriteRate, s.writeRate))
}

// setRate sets the calls per second. The burst is a quarter of a second's calls, so that no second passes more than
// 1.25 times the rate.
func setRate(l *rate.Limiter, perSecond int) {
	if perSecond <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetBurst(max(1, perSecond/4))
	l.SetLimit(rate.Limit(perSecond))
}

// currentHostListDelay is called with the lock held.
func (s *Server) currentHostListDelay() time.Duration {
	return time.Duration(valueOr(s.faults.HostListDelayMs, s.hostListDelay.Milliseconds())) * time.Millisecond
}

// replyToWrite replies to a write that took effect, or breaks the connection when a fault says so.
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

func (s *Server) postHosts(w http.ResponseWriter, r *http.Request) {
	list := &mangomessage.HostList{}
	if !decodeBody(w, r, list) {
		return
	}
	s.withStore(func(_ *keyStore, now time.Time) { s.hostList.add(list, now.Add(s.currentHostListDelay())) })
	writeReply(w, struct{}{})
}

func (s *Server) postSnapshot(w http.ResponseWriter, _ *http.Request) {
	s.withStore(func(k *keyStore, _ time.Time) { s.savedStore = k.snapshot() })
	writeReply(w, struct{}{})
}

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

func valueOr[T any](value *T, otherwise T) T {
	if value == nil {
		return otherwise
	}
	return *value
}
