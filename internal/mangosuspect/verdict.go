package mangosuspect

import (
	"slices"
	"time"
)

// Verdict is what is known about a fingerprint.
type Verdict int

const (
	// Clear requests run anywhere.
	Clear Verdict = iota
	// Suspect requests were aboard a crashed host and run where no other suspect runs.
	Suspect
	// Condemned requests crash upstreams and are not to run.
	Blocked
)

const (
	// massWindow and massHosts recognise racks and switches that fail: with that many other hosts lost around a crash
	// it takes a third crash to condemn.
	massWindow = 10 * time.Second
	massHosts  = 2
)

// Check returns the verdict on a fingerprint.
func (s *CrashTracker) Check(fingerprint string, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, _ := s.judge(fingerprint, now)
	return verdict
}

// Held reports whether a fingerprint was aboard several crashes and reports that decide on it may still be on their way.
func (s *CrashTracker) Held(fingerprint string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, held := s.judge(fingerprint, now)
	return held
}

// judge returns the verdict, and whether reports that decide it may still be on their way.
func (s *CrashTracker) judge(fingerprint string, now time.Time) (Verdict, bool) {
	crashes := s.apart(s.live(fingerprint, now))
	if len(crashes) == 0 {
		return Clear, false
	}
	if len(crashes) == 1 {
		return Suspect, false
	}
	for _, c := range crashes {
		if now.Sub(c.at) < s.settle {
			return Suspect, true
		}
	}
	if s.only(fingerprint, crashes) && len(crashes) >= s.needed(fingerprint, crashes) {
		return Blocked, false
	}
	return Suspect, false
}

// apart returns the crashes without those that came together with an earlier one.
func (s *CrashTracker) apart(crashes []*crash) []*crash {
	if s.together <= 0 || len(crashes) < 2 {
		return crashes
	}
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	kept := sorted[:1]
	for _, c := range sorted[1:] {
		if c.at.Sub(kept[len(kept)-1].at) >= s.together {
			kept = append(kept, c)
		}
	}
	return kept
}

func (s *CrashTracker) live(fingerprint string, now time.Time) []*crash {
	var live []*crash
	for _, c := range s.aboard[fingerprint] {
		if now.Sub(c.at) <= s.expiry {
			live = append(live, c)
		}
	}
	return live
}

// only reports whether no other fingerprint was aboard in all of the crashes.
func (s *CrashTracker) only(fingerprint string, crashes []*crash) bool {
	for f, counts := range crashes[0].aboard {
		if !counts || f == fingerprint {
			continue
		}
		common := true
		for _, c := range crashes[1:] {
			common = common && c.aboard[f]
		}
		if common {
			return false
		}
	}
	return true
}

// needed returns the number of crashes that condemn: two, or three when one of them was part of a mass failure.
func (s *CrashTracker) needed(fingerprint string, crashes []*crash) int {
	for _, c := range crashes {
		hosts := map[string]bool{}
		for _, o := range s.crashes {
			if !o.aboard[fingerprint] && o.host != c.host && o.at.Sub(c.at).Abs() <= massWindow {
				hosts[o.host] = true
			}
		}
		if len(hosts) >= massHosts {
			return 3
		}
	}
	return 2
}
