package mangocrash

import (
	"slices"
	"time"
)

// expire removes the crashes that are older than the expiry time, except for the fingerprints that have been blocked.
func (t *CrashTracker) expire(now time.Time) {
	kept := t.crashes[:0]
	for _, c := range t.crashes {
		if now.Sub(c.at) <= t.expiry || t.keptForCondemned(c, now) {
			kept = append(kept, c)
			continue
		}
		t.removeCrash(c)
	}
	clear(t.crashes[len(kept):])
	t.crashes = kept
}

// keptForCondemned reports whether an expired crash still counts against a fingerprint that has been blocked, and drops its
// other fingerprints.
func (t *CrashTracker) keptForCondemned(c *crash, now time.Time) bool {
	if now.Sub(c.at) > t.condemnedExpiry {
		return false
	}
	kept := false
	for f, counts := range c.inFlight {
		if counts && t.condemned[f] {
			kept = true
			continue
		}
		t.dropCrash(c, f)
		delete(c.inFlight, f)
	}
	return kept
}

// removeCrash removes a crash from both indexes.
func (t *CrashTracker) removeCrash(old *crash) {
	for _, id := range old.ids {
		delete(t.crashesByID, id)
	}
	for f := range old.inFlight {
		t.dropCrash(old, f)
	}
}

// dropCrash removes a crash from those that count against a fingerprint.
func (t *CrashTracker) dropCrash(old *crash, fingerprint string) {
	crashes := t.crashesByFingerprint[fingerprint]
	if i := slices.Index(crashes, old); i >= 0 {
		t.setCrashes(fingerprint, slices.Delete(slices.Clone(crashes), i, i+1))
	}
}
