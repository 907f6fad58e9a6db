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
	s.hosts.freeze(f.HostListFrozen, now)
	setRate(s.reads, valueOr(f.ReadRate, s.readRate))
	setRate(s.writes, valueOr(f.WriteRate, s.writeRate))
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

// hostListDelay is called with the lock held.
func (s *Server) hostListDelay() time.Duration {
	return time.Duration(valueOr(s.faults.HostListDelayMs, s.listDelay.Milliseconds())) * time.Millisecond
}

// answerWrite replies to a write that took effect, or breaks the connection when a fault says so.
func (s *Server) answerWrite(w http.ResponseWriter, key string, answer any) {
	s.mu.Lock()
	drop := s.faults.DropReplies > 0 && strings.HasPrefix(key, s.faults.DropPrefix)
	if drop {
		s.faults.DropReplies--
	}
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	reply(w, answer)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	s.locked(func(_ *table, now time.Time) {
		s.setFaults(f, now)
		s.wake()
	})
	reply(w, struct{}{})
}

func (s *Server) postHosts(w http.ResponseWriter, r *http.Request) {
	list := &mangomessage.HostList{}
	if !decode(w, r, list) {
		return
	}
	s.locked(func(_ *table, now time.Time) { s.hosts.add(list, now.Add(s.hostListDelay())) })
	reply(w, struct{}{})
}

func (s *Server) postSnapshot(w http.ResponseWriter, _ *http.Request) {
	s.locked(func(t *table, _ time.Time) { s.saved = t.snapshot() })
	reply(w, struct{}{})
}

func (s *Server) postRestore(w http.ResponseWriter, _ *http.Request) {
	s.locked(func(t *table, _ time.Time) {
		t.restore(s.saved)
		s.wake()
	})
	reply(w, struct{}{})
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counters
	s.mu.Unlock()
	reply(w, c)
}

func valueOr[T any](value *T, otherwise T) T {
	if value == nil {
		return otherwise
	}
	return *value
}
