package mangosuspect

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetDaemons sets the names of the live daemons. Each host is then left to the suspects of one daemon, so that
// suspects of different daemons don't meet on it as long as the daemons agree on who is live.
func (s *CrashTracker) SetDaemons(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = append([]string(nil), names...)
}

// Hosts returns the candidates on which a suspect of this daemon may run now. When no candidate is left to this daemon
// it returns, some time after the last crash, the one that ranks this daemon highest. Suspects of the host's own daemon
// could share it, and by then most of them have passed the point of their crash.
func (s *CrashTracker) Hosts(fingerprint string, candidates []string, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.judge(fingerprint, now); held {
		return nil
	}
	var free []string
	own, best, top := false, "", uint64(0)
	for _, h := range candidates {
		if n := rank(s.self, h); best == "" || n > top {
			best, top = h, n
		}
		if !s.mine(h) {
			continue
		}
		own = true
		if s.available(h) {
			free = append(free, h)
		}
	}
	if !own && best != "" && s.available(best) && s.quiet(fingerprint, now) {
		return []string{best}
	}
	return free
}

// shareDelay is the time after a crash before a daemon uses hosts of others for its suspects. A second crash with suspects
// of two daemons aboard would identify neither; an innocent one passes within about 100 ms, one after the other.
const shareDelay = 4 * time.Second

// quiet reports whether the last crash of a fingerprint is long enough ago to share a host.
func (s *CrashTracker) quiet(fingerprint string, now time.Time) bool {
	for _, c := range s.aboard[fingerprint] {
		if now.Sub(c.at) < shareDelay {
			return false
		}
	}
	return true
}

// Acquire lets a suspect run on a host if no other suspect of this daemon runs there and the call is not held until
// the reports on its crashes have arrived.
func (s *CrashTracker) Acquire(fingerprint, host string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, held := s.judge(fingerprint, now)
	if verdict == Blocked || held || !s.available(host) {
		return false
	}
	s.busy[host] = fingerprint
	return true
}

// Release ends the run of a suspect on a host.
func (s *CrashTracker) Release(fingerprint, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[host] == fingerprint {
		delete(s.busy, host)
	}
}

func (s *CrashTracker) available(host string) bool {
	_, busy := s.busy[host]
	return !busy
}

func (s *CrashTracker) mine(host string) bool {
	own := rank(s.self, host)
	for _, d := range s.daemons {
		if n := rank(d, host); d != s.self && (n > own || (n == own && d > s.self)) {
			return false
		}
	}
	return true
}

// rank is the weight of a daemon for a host in rendezvous hashing.
func rank(daemon, host string) uint64 { return xxhash.Sum64String(daemon + "\x00" + host) }
