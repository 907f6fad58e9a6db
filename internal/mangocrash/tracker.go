package mangocrash

import (
	"crypto/rand"
	"slices"
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
	// maxWider bounds the wider parts that are kept for a fingerprint.
	maxWider = 16
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
	// crashesByFingerprint holds the crashes that count against a fingerprint, which may be that of a part of requests.
	crashesByFingerprint map[string][]*crash
	// wider holds the fingerprints of the parts of a request that come before a part, or before the whole, by the
	// fingerprint of the latter. A request that has it also has these.
	wider map[string][]string
	// begun holds when a request with a part last began safely.
	begun *recentTimes
	// condemned holds the fingerprints that have been blocked, whose crashes count for condemnedExpiry.
	condemned       map[string]bool
	condemnedExpiry time.Duration
	// triedAt holds when this daemon last let a request with a blocked fingerprint through; triers names the daemons that may.
	triedAt map[string]time.Time
	triers  func() []string
	// onVerdict receives changes of verdicts.
	onVerdict func(c Change)
	// verdicts is the last evaluation; changed says that it is out of date.
	verdicts verdicts
	changed  bool
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
	// group names the hosts that may be lost together.
	group string
	at    time.Time
	ids   []string
	// sentAt has for fingerprints when the last request with them was sent to the host, if that is known.
	sentAt map[string]time.Time
	// inFlight holds the fingerprints of the calls that ran on the host; the value is false once the fingerprint was cleared
	// of this crash.
	inFlight map[string]bool
}

// New returns a tracker without crashes for the daemon named self.
func New(self string, opts ...Option) *CrashTracker {
	t := &CrashTracker{
		expiry: 10 * time.Minute, settleTime: 2 * time.Second, self: self,
		crashesByID: map[string]*crash{}, crashesByFingerprint: map[string][]*crash{}, suspectOnHost: map[string]string{},
		wider: map[string][]string{}, begun: newRecentTimes(), condemned: map[string]bool{}, triedAt: map[string]time.Time{},
		triers: func() []string { return nil }, onVerdict: func(Change) {}, changed: true,
	}
	for _, o := range opts {
		o(t)
	}
	t.condemnedExpiry = max(t.condemnedExpiry, t.expiry)
	return t
}

// NewCrashID returns a unique id for a crash that this daemon noticed.
func NewCrashID(host string) string { return host + "#" + rand.Text()[:10] }

// NewGroupCrashID returns a unique id for the crash of a start of a host, which belongs to a group. Crashes in a group at about
// the same time count as one for the requests that had been sent before the first of them: the hosts may have lost their power
// together.
func NewGroupCrashID(group, start string) string { return NewCrashID(group + "|" + start) }

// parseCrashID returns the host and its group from the id of a crash; a host without a group is a group by itself.
func parseCrashID(id string) (group, host string) {
	host, _, _ = strings.Cut(id, "#")
	if group, _, grouped := strings.Cut(host, "|"); grouped {
		return group, host
	}
	return host, host
}

// Report records a crash of a host and the fingerprints of this daemon's calls that were in flight there.
func (t *CrashTracker) Report(crashID string, fingerprints []string, now time.Time) {
	inFlight := make([]InFlight, len(fingerprints))
	for i, f := range fingerprints {
		inFlight[i].Fingerprint = f
	}
	t.ReportInFlight(crashID, inFlight, now)
}

// ReportInFlight records a crash of a host and the requests of this daemon that were in flight there. It reports whether any of
// that is new.
func (t *CrashTracker) ReportInFlight(crashID string, inFlight []InFlight, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	onlySuspect := t.countSuspects(inFlight) <= 1
	before := t.nextPosition
	for _, r := range inFlight {
		all := r.fingerprints()
		for i, f := range all {
			t.recordInFlight(crashID, sighting{fingerprint: f, wider: all[:i], at: now, sentAt: r.SentAt, onlySuspect: onlySuspect}, fromSelf)
		}
	}
	return t.nextPosition != before
}

// Complete clears a fingerprint whose call ran to its end, since such a call does not crash upstreams.
func (t *CrashTracker) Complete(fingerprint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(fingerprint, now, fromSelf)
}

// Begin clears parts of a request whose answer has begun safely, and reports whether any crash counted against them. A part
// that crashes upstreams crashes each one that begins an answer on it.
func (t *CrashTracker) Begin(parts []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := false
	for _, p := range parts {
		t.begun.set(p, now)
		cleared = t.clear(p, now, fromSelf) || cleared
	}
	return cleared
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
		case m.GetFingerprint() == "" || now.Sub(at) > t.condemnedExpiry:
		case m.GetCleared():
			// The messages about a crash and about a later completion have different delays, so the crash may appear to be
			// the later one here. Extending the time is safe: a call that crashes upstreams does not complete shortly before.
			t.clear(m.GetFingerprint(), at.Add(sameCrashWindow), from)
		case m.GetCrashId() != "":
			s := sighting{fingerprint: m.GetFingerprint(), wider: m.GetWider(), at: at, onlySuspect: m.GetAlone()}
			if m.GetSentMs() > 0 {
				s.sentAt = at.Add(-time.Duration(m.GetSentMs()) * time.Millisecond)
			}
			t.recordInFlight(m.GetCrashId(), s, from)
		}
	}
}

// sighting says that a call with a fingerprint was in flight in a crash.
type sighting struct {
	fingerprint string
	// wider are the fingerprints of the parts that come before it in the request.
	wider []string
	// at is the time of the crash, and sentAt that of the send or zero.
	at, sentAt  time.Time
	onlySuspect bool
}

// recordInFlight records a sighting in the crash with the id.
func (t *CrashTracker) recordInFlight(id string, s sighting, from origin) {
	c := t.crashWithID(id, s.at)
	if s.sentAt.After(c.sentAt[s.fingerprint]) {
		c.sentAt[s.fingerprint], t.changed = s.sentAt, true
	}
	if _, known := c.inFlight[s.fingerprint]; known {
		return
	}
	c.inFlight[s.fingerprint] = true
	t.crashesByFingerprint[s.fingerprint] = append(t.crashesByFingerprint[s.fingerprint], c)
	for _, w := range s.wider {
		if !slices.Contains(t.wider[s.fingerprint], w) && len(t.wider[s.fingerprint]) < maxWider {
			t.wider[s.fingerprint] = append(t.wider[s.fingerprint], w)
		}
	}
	t.changed = true
	t.appendLog(logEntry{fingerprint: s.fingerprint, crashID: id, at: s.at, sentAt: s.sentAt, onlySuspect: s.onlySuspect, origin: from})
	if begunAt, ok := t.begun.get(s.fingerprint); ok && begunAt.After(s.at) {
		// The report of the crash has come later than the answer that clears the part of it.
		t.clear(s.fingerprint, begunAt, fromSelf)
	}
}

// crashWithID returns the crash with the id and adds it if it is new. An id that another daemon gave to the same crash of
// the host becomes one more id of that crash.
func (t *CrashTracker) crashWithID(id string, at time.Time) *crash {
	if c := t.crashesByID[id]; c != nil {
		return c
	}
	group, host := parseCrashID(id)
	for _, c := range t.crashes {
		// A host of a group is named by its start, so that it crashes once, however late a daemon notices.
		if c.host == host && (group != host || at.Sub(c.at).Abs() <= sameCrashWindow) {
			t.crashesByID[id] = c
			c.ids = append(c.ids, id)
			return c
		}
	}
	c := &crash{host: host, group: group, at: at, ids: []string{id}, inFlight: map[string]bool{}, sentAt: map[string]time.Time{}}
	t.crashesByID[id] = c
	t.crashes = append(t.crashes, c)
	return c
}

// clear removes the crashes up to a time from those that count against a fingerprint, and reports whether there were any.
// The value false in inFlight keeps late reports of these crashes from counting again.
func (t *CrashTracker) clear(fingerprint string, at time.Time, from origin) bool {
	var left []*crash
	for _, c := range t.crashesByFingerprint[fingerprint] {
		if c.at.After(at) {
			left = append(left, c)
			continue
		}
		c.inFlight[fingerprint] = false
	}
	if len(left) == len(t.crashesByFingerprint[fingerprint]) {
		return false
	}
	t.setCrashes(fingerprint, left)
	t.appendLog(logEntry{fingerprint: fingerprint, at: at, cleared: true, origin: from})
	return true
}

// setCrashes replaces the crashes that count against a fingerprint.
func (t *CrashTracker) setCrashes(fingerprint string, left []*crash) {
	t.changed = true
	if len(left) == 0 {
		delete(t.crashesByFingerprint, fingerprint)
		delete(t.wider, fingerprint)
		delete(t.triedAt, fingerprint)
		if t.condemned[fingerprint] {
			delete(t.condemned, fingerprint)
			t.onVerdict(Change{Fingerprint: fingerprint, Event: Freed})
		}
		return
	}
	t.crashesByFingerprint[fingerprint] = left
}

// countSuspects returns how many of the requests have crashes that count against them.
func (t *CrashTracker) countSuspects(inFlight []InFlight) int {
	n := 0
	for _, r := range inFlight {
		if len(t.crashesByFingerprint[r.Fingerprint]) > 0 {
			n++
		}
	}
	return n
}
