package mangocrash

import (
	"slices"
	"time"
)

// Verdict says whether requests with a fingerprint may run, and where.
type Verdict int

const (
	// Clear means that no crash counts against the request; it may run anywhere.
	Clear Verdict = iota
	// Suspect means that the request was in flight in a crash; it may only run on hosts where no other suspect runs.
	Suspect
	// Blocked means that the request crashes upstreams and must not run.
	Blocked
)

// Check returns the verdict on a fingerprint.
func (t *CrashTracker) Check(fingerprint string, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, _ := t.evaluate(fingerprint, now)
	return verdict
}

// Held reports whether a fingerprint was in flight in several crashes and reports that decide its verdict may yet arrive.
func (t *CrashTracker) Held(fingerprint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, held := t.evaluate(fingerprint, now)
	return held
}

// evaluate returns the verdict on a fingerprint, and whether reports that decide it may yet arrive, so that its call is
// held.
func (t *CrashTracker) evaluate(fingerprint string, now time.Time) (Verdict, bool) {
	crashes := t.unexpired(fingerprint, now)
	switch {
	case len(crashes) == 0:
		return Clear, false
	case len(crashes) == 1:
		return Suspect, false
	}
	if t.changed || now.Before(t.verdicts.at) || !now.Before(t.verdicts.until) {
		t.verdicts, t.changed = t.decide(now), false
		for f := range t.verdicts.blocked {
			if !t.condemned[f] {
				t.condemned[f] = true
				t.onVerdict(Change{Fingerprint: f, Event: Condemned, Crashes: len(t.unexpired(f, now))})
			}
		}
	}
	if t.verdicts.blocked[fingerprint] {
		return Blocked, false
	}
	return Suspect, t.verdicts.held[fingerprint]
}

// cluster has crashes that may have the same cause, such as a loss of power, and count as one. The first one is the earliest.
type cluster []*crash

// clusters divides the crashes that count against a fingerprint into clusters, in the order of their times.
func (t *CrashTracker) clusters(fingerprint string, crashes []*crash) []cluster {
	var list []cluster
	for _, c := range slices.SortedStableFunc(slices.Values(crashes), func(a, b *crash) int { return a.at.Compare(b.at) }) {
		i := slices.IndexFunc(list, func(l cluster) bool { return t.coincident(fingerprint, l[0], c) })
		if i < 0 {
			list = append(list, cluster{c})
			continue
		}
		list[i] = append(list[i], c)
	}
	return list
}

// coincident reports whether two crashes count as one for a fingerprint. A host that had taken a request with it after the
// earlier crash was not lost together with the other one.
func (t *CrashTracker) coincident(fingerprint string, earlier, later *crash) bool {
	apart := later.at.Sub(earlier.at)
	return apart < t.coincidenceWindow ||
		(earlier.group == later.group && apart <= sameCrashWindow && !later.sentAt[fingerprint].After(earlier.at))
}

// unexpired returns the crashes that count against a fingerprint and have not expired.
func (t *CrashTracker) unexpired(fingerprint string, now time.Time) []*crash {
	var crashes []*crash
	for _, c := range t.crashesByFingerprint[fingerprint] {
		if now.Sub(c.at) <= t.lifetime(fingerprint) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// lifetime returns the time for which a crash counts against a fingerprint.
func (t *CrashTracker) lifetime(fingerprint string) time.Duration {
	if t.condemned[fingerprint] {
		return t.condemnedExpiry
	}
	return t.expiry
}
