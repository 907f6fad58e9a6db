package mangocrash

import (
	"crypto/rand"
	"strings"
	"sync"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// sameCrashWindow is the largest difference between the times at which two daemons report the same crash of a host. Two
	// crashes of a host within it count as one, which is safe: an engine takes longer than that to load its weights again.
	sameCrashWindow = 3 * time.Second
	// maxLogEntries bounds the log that peers are sent. A peer that is further behind gets only the entries still in it.
	maxLogEntries = 4096
)

// CrashTracker records the crashes of hosts and the fingerprints of the calls that were in flight on them, as far as one
// daemon knows them. It is safe for concurrent use.
type CrashTracker struct {
	mu     sync.Mutex
	expiry time.Duration
	// coincidenceWindow is the time within which crashes of several hosts count as one.
	coincidenceWindow time.Duration
	// settleTime is the time after a crash by which the reports of all daemons on it have arrived.
	settleTime time.Duration
	// crashes are in the order in which they became known here. crashesByID maps every id of a crash to it.
	crashes     []*crash
	crashesByID map[string]*crash
	// crashesByFingerprint holds the crashes that count against a fingerprint.
	crashesByFingerprint map[string][]*crash
	// suspectOnHost maps a host to the fingerprint of the suspect of this daemon that runs there.
	suspectOnHost map[string]string
	// self is the name of this daemon; daemons are the names of all live ones.
	self    string
	daemons []string
	// log holds the latest entries for peers. nextPosition is the position after the last one, counted from the first entry
	// ever made.
	log          []logEntry
	nextPosition uint64
}

// crash is a crash of a host, which several daemons may have reported under ids of their own.
type crash struct {
	host string
	at   time.Time
	ids  []string
	// inFlight holds the fingerprints of the calls that ran on the host; the value is false once the fingerprint was cleared
	// of this crash.
	inFlight map[string]bool
}

// New returns a tracker without crashes for the daemon named self.
func New(self string, opts ...Option) *CrashTracker {
	t := &CrashTracker{
		expiry: 10 * time.Minute, settleTime: 2 * time.Second, self: self,
		crashesByID: map[string]*crash{}, crashesByFingerprint: map[string][]*crash{}, suspectOnHost: map[string]string{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// NewCrashID returns a unique id for a crash that this daemon noticed. host may also be the name of a group of replicas
// whose crashes at about the same time count as one.
func NewCrashID(host string) string { return host + "#" + rand.Text()[:10] }

// Report records a crash of a host and the fingerprints of this daemon's calls that were in flight there.
func (t *CrashTracker) Report(crashID string, fingerprints []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	onlySuspect := t.countSuspects(fingerprints) <= 1
	for _, f := range fingerprints {
		t.recordInFlight(crashID, f, now, onlySuspect, fromSelf)
	}
}

// Complete clears a fingerprint whose call ran to its end, since such a call does not crash upstreams.
func (t *CrashTracker) Complete(fingerprint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashesByFingerprint[fingerprint]) == 0 {
		return
	}
	t.clear(fingerprint, now, fromSelf)
}

// Merge adds the suspicions that a peer sent. A pair of crash and fingerprint counts once, however many peers send it and
// however often.
func (t *CrashTracker) Merge(suspicions []*mangomessage.Suspicion, now time.Time) {
	t.merge(suspicions, fromPeer, now)
}

// MergeRelayed is Merge for suspicions that a hub sent, which reach the other hubs without this daemon.
func (t *CrashTracker) MergeRelayed(suspicions []*mangomessage.Suspicion, now time.Time) {
	t.merge(suspicions, fromHub, now)
}

func (t *CrashTracker) merge(suspicions []*mangomessage.Suspicion, from origin, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, m := range suspicions {
		at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
		switch {
		case m.GetFingerprint() == "" || now.Sub(at) > t.expiry:
		case m.GetCleared():
			// The messages about a crash and about a later completion have different delays, so the crash may appear to be
			// the later one here. Extending the time is safe: a call that crashes upstreams does not complete shortly before.
			t.clear(m.GetFingerprint(), at.Add(sameCrashWindow), from)
		case m.GetCrashId() != "":
			t.recordInFlight(m.GetCrashId(), m.GetFingerprint(), at, m.GetAlone(), from)
		}
	}
}

// recordInFlight records that a call with the fingerprint was in flight in the crash with the id.
func (t *CrashTracker) recordInFlight(id, fingerprint string, at time.Time, onlySuspect bool, from origin) {
	c := t.crashWithID(id, at)
	if c.inFlight[fingerprint] {
		return
	}
	if _, cleared := c.inFlight[fingerprint]; cleared {
		return
	}
	c.inFlight[fingerprint] = true
	t.crashesByFingerprint[fingerprint] = append(t.crashesByFingerprint[fingerprint], c)
	t.appendLog(logEntry{fingerprint: fingerprint, crashID: id, at: at, onlySuspect: onlySuspect, origin: from})
}

// crashWithID returns the crash with the id and adds it if it is new. An id that another daemon gave to the same crash of
// the host becomes one more id of that crash.
func (t *CrashTracker) crashWithID(id string, at time.Time) *crash {
	if c := t.crashesByID[id]; c != nil {
		return c
	}
	host, _, _ := strings.Cut(id, "#")
	for _, c := range t.crashes {
		if c.host == host && at.Sub(c.at).Abs() <= sameCrashWindow {
			t.crashesByID[id] = c
			c.ids = append(c.ids, id)
			return c
		}
	}
	c := &crash{host: host, at: at, ids: []string{id}, inFlight: map[string]bool{}}
	t.crashesByID[id] = c
	t.crashes = append(t.crashes, c)
	return c
}

// clear removes the crashes up to a time from those that count against a fingerprint. The value false in inFlight keeps late
// reports of these crashes from counting again.
func (t *CrashTracker) clear(fingerprint string, at time.Time, from origin) {
	var left []*crash
	for _, c := range t.crashesByFingerprint[fingerprint] {
		if c.at.After(at) {
			left = append(left, c)
			continue
		}
		c.inFlight[fingerprint] = false
	}
	if len(left) == len(t.crashesByFingerprint[fingerprint]) {
		return
	}
	t.setCrashes(fingerprint, left)
	t.appendLog(logEntry{fingerprint: fingerprint, at: at, cleared: true, origin: from})
}

// setCrashes replaces the crashes that count against a fingerprint.
func (t *CrashTracker) setCrashes(fingerprint string, left []*crash) {
	if len(left) == 0 {
		delete(t.crashesByFingerprint, fingerprint)
		return
	}
	t.crashesByFingerprint[fingerprint] = left
}

// expire removes the crashes that are older than the expiry time.
func (t *CrashTracker) expire(now time.Time) {
	kept := t.crashes[:0]
	for _, c := range t.crashes {
		if now.Sub(c.at) <= t.expiry {
			kept = append(kept, c)
			continue
		}
		t.removeCrash(c)
	}
	clear(t.crashes[len(kept):])
	t.crashes = kept
}

// removeCrash removes a crash from both indexes.
func (t *CrashTracker) removeCrash(old *crash) {
	for _, id := range old.ids {
		delete(t.crashesByID, id)
	}
	for f := range old.inFlight {
		var left []*crash
		for _, c := range t.crashesByFingerprint[f] {
			if c != old {
				left = append(left, c)
			}
		}
		t.setCrashes(f, left)
	}
}

// countSuspects returns how many of the fingerprints have crashes that count against them.
func (t *CrashTracker) countSuspects(fingerprints []string) int {
	n := 0
	for _, f := range fingerprints {
		if len(t.crashesByFingerprint[f]) > 0 {
			n++
		}
	}
	return n
}
