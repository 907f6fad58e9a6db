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
	if _, held := s.evaluate(fingerprint, now); held {
		return nil
	}
	var free []string
	own, best, top := false, "", uint64(0)
	for _, h := range candidates {
		if n := rendezvousWeight(s.self, h); best == "" || n > top {
			best, top = h, n
		}
		if !s.ownsHost(h) {
			continue
		}
		own = true
		if s.hostIsFree(h) {
			free = append(free, h)
		}
	}
	if !own && best != "" && s.hostIsFree(best) && s.mayShareHost(fingerprint, now) {
		return []string{best}
	}
	return free
}

// hostShareDelay is the time after a crash before a daemon uses hosts of others for its suspects. A second crash with suspects
// of two daemons aboard would identify neither; an innocent one passes within about 100 ms, one after the other.
const hostShareDelay = 4 * time.Second

// mayShareHost reports whether the last crash of a fingerprint is long enough ago to share a host.
func (s *CrashTracker) mayShareHost(fingerprint string, now time.Time) bool {
	for _, c := range s.crashesByFingerprint[fingerprint] {
		if now.Sub(c.at) < hostShareDelay {
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
	verdict, held := s.evaluate(fingerprint, now)
	if verdict == Blocked || held || !s.hostIsFree(host) {
		return false
	}
	s.suspectOnHost[host] = fingerprint
	return true
}

// Release ends the run of a suspect on a host.
func (s *CrashTracker) Release(fingerprint, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspectOnHost[host] == fingerprint {
		delete(s.suspectOnHost, host)
	}
}

func (s *CrashTracker) hostIsFree(host string) bool {
	_, busy := s.suspectOnHost[host]
	return !busy
}

func (s *CrashTracker) ownsHost(host string) bool {
	own := rendezvousWeight(s.self, host)
	for _, d := range s.daemons {
		if n := rendezvousWeight(d, host); d != s.self && (n > own || (n == own && d > s.self)) {
			return false
		}
	}
	return true
}

// rendezvousWeight is the weight of a daemon for a host in rendezvous hashing.
func rendezvousWeight(daemon, host string) uint64 { return xxhash.Sum64String(daemon + "\x00" + host) }
