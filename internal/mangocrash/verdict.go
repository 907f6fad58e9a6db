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

const (
	// massFailureWindow and massFailureHosts recognise the failure of a rack or a switch: if at least that many other hosts
	// crashed within the window before or after a crash, it takes a third crash to block a request.
	massFailureWindow = 10 * time.Second
	massFailureHosts  = 2
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
	crashes := t.withoutCoincident(t.unexpired(fingerprint, now))
	if len(crashes) == 0 {
		return Clear, false
	}
	if len(crashes) == 1 {
		return Suspect, false
	}
	for _, c := range crashes {
		if now.Sub(c.at) < t.settleTime {
			return Suspect, true
		}
	}
	if t.onlyCommon(fingerprint, crashes) && len(crashes) >= t.crashesToBlock(fingerprint, crashes) {
		return Blocked, false
	}
	return Suspect, false
}

// withoutCoincident returns the crashes without those that follow an earlier one within the coincidence window.
func (t *CrashTracker) withoutCoincident(crashes []*crash) []*crash {
	if t.coincidenceWindow <= 0 || len(crashes) < 2 {
		return crashes
	}
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	kept := sorted[:1]
	for _, c := range sorted[1:] {
		if c.at.Sub(kept[len(kept)-1].at) >= t.coincidenceWindow {
			kept = append(kept, c)
		}
	}
	return kept
}

// unexpired returns the crashes that count against a fingerprint and have not expired.
func (t *CrashTracker) unexpired(fingerprint string, now time.Time) []*crash {
	var crashes []*crash
	for _, c := range t.crashesByFingerprint[fingerprint] {
		if now.Sub(c.at) <= t.expiry {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// onlyCommon reports whether no other fingerprint was in flight in all of the crashes.
func (t *CrashTracker) onlyCommon(fingerprint string, crashes []*crash) bool {
	for f, counts := range crashes[0].inFlight {
		if !counts || f == fingerprint {
			continue
		}
		common := true
		for _, c := range crashes[1:] {
			common = common && c.inFlight[f]
		}
		if common {
			return false
		}
	}
	return true
}

// crashesToBlock returns the number of crashes that block a fingerprint: two, or three if one of them was part of a mass
// failure.
func (t *CrashTracker) crashesToBlock(fingerprint string, crashes []*crash) int {
	for _, c := range crashes {
		hosts := map[string]bool{}
		for _, o := range t.crashes {
			if !o.inFlight[fingerprint] && o.host != c.host && o.at.Sub(c.at).Abs() <= massFailureWindow {
				hosts[o.host] = true
			}
		}
		if len(hosts) >= massFailureHosts {
			return 3
		}
	}
	return 2
}
