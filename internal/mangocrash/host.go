package mangocrash

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetDaemons sets the names of the live daemons. Each host is assigned to one of them by rendezvous hashing and takes only
// the suspects of that daemon, so that suspects of different daemons do not run on one host as long as the daemons agree on
// which of them are live.
func (t *CrashTracker) SetDaemons(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.daemons = append([]string(nil), names...)
}

// EligibleHosts returns the candidates on which a suspect of this daemon may run now. If none of them is assigned to this
// daemon, it returns the one with this daemon's highest weight once the last crash is hostShareDelay ago. A suspect of the
// daemon that the host is assigned to may run there too, but by then most suspects are past the point of their crash.
func (t *CrashTracker) EligibleHosts(fingerprint string, candidates []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, held := t.evaluate(fingerprint, now); held {
		return nil
	}
	var free []string
	anyOwned, best, bestWeight := false, "", uint64(0)
	for _, h := range candidates {
		if w := rendezvousWeight(t.self, h); best == "" || w > bestWeight {
			best, bestWeight = h, w
		}
		if !t.ownsHost(h) {
			continue
		}
		anyOwned = true
		if t.hostIsFree(h) {
			free = append(free, h)
		}
	}
	if !anyOwned && best != "" && t.hostIsFree(best) && t.mayShareHost(fingerprint, now) {
		return []string{best}
	}
	return free
}

// hostShareDelay is the time after a crash before a daemon runs its suspects on hosts that are assigned to other daemons. If
// suspects of two daemons were in flight in a second crash, neither could be identified. A suspect that does not crash
// upstreams gets past the point of its crash within about 100 ms of running, and they run one after the other.
const hostShareDelay = 4 * time.Second

// mayShareHost reports whether all crashes of a fingerprint are at least hostShareDelay ago.
func (t *CrashTracker) mayShareHost(fingerprint string, now time.Time) bool {
	for _, c := range t.crashesByFingerprint[fingerprint] {
		if now.Sub(c.at) < hostShareDelay {
			return false
		}
	}
	return true
}

// Acquire reserves a host for the run of a suspect. It fails if a suspect of this daemon runs there already, if the
// fingerprint is blocked, or if its call is held until the reports on its crashes have arrived.
func (t *CrashTracker) Acquire(fingerprint, host string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, held := t.evaluate(fingerprint, now)
	if verdict == Blocked || held || !t.hostIsFree(host) {
		return false
	}
	t.suspectOnHost[host] = fingerprint
	return true
}

// Release ends the reservation of a host for a suspect.
func (t *CrashTracker) Release(fingerprint, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspectOnHost[host] == fingerprint {
		delete(t.suspectOnHost, host)
	}
}

// hostIsFree reports whether no suspect of this daemon runs on a host.
func (t *CrashTracker) hostIsFree(host string) bool {
	_, taken := t.suspectOnHost[host]
	return !taken
}

// ownsHost reports whether a host is assigned to this daemon.
func (t *CrashTracker) ownsHost(host string) bool {
	own := rendezvousWeight(t.self, host)
	for _, d := range t.daemons {
		if w := rendezvousWeight(d, host); d != t.self && (w > own || (w == own && d > t.self)) {
			return false
		}
	}
	return true
}

// rendezvousWeight returns the weight of a daemon for a host in rendezvous hashing; the highest weight wins.
func rendezvousWeight(daemon, host string) uint64 { return xxhash.Sum64String(daemon + "\x00" + host) }
