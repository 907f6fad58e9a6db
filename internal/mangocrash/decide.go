package mangocrash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// massFailureWindow and massFailureGroups recognise the failure of a rack or a switch: if hosts of that many other groups
	// crashed within the window before or after a crash, it takes a third crash to block a request.
	massFailureWindow = 10 * time.Second
	massFailureGroups = 2
	// maxJudged bounds the fingerprints that are judged, of which those in most crashes come first.
	maxJudged = 256
)

// verdicts is what follows from all crashes that are known at a time.
type verdicts struct {
	blocked map[string]bool
	// held has the fingerprints that may be blocked once all reports on their crashes have arrived.
	held map[string]bool
	// The verdicts hold from at until the time until, unless a crash is reported or cleared.
	at, until time.Time
}

// decide finds the smallest set of fingerprints that explains the crashes: the one in flight in most crashes is blocked
// first, and crashes that it explains do not count against others that were in flight in them by chance.
func (t *CrashTracker) decide(now time.Time) verdicts {
	v := verdicts{blocked: map[string]bool{}, at: now, until: t.nextChange(now)}
	explained := map[*crash]bool{}
	for {
		blocked, held := t.nextToBlock(v.blocked, explained, now)
		if blocked == "" {
			v.held = held
			return v
		}
		v.blocked[blocked] = true
		for _, c := range t.crashesByFingerprint[blocked] {
			explained[c] = true
		}
	}
}

// nextToBlock returns the fingerprint that explains most of the unexplained crashes, or "" if none is to be blocked, and those
// that are held.
func (t *CrashTracker) nextToBlock(blocked map[string]bool, explained map[*crash]bool, now time.Time) (string, map[string]bool) {
	held := map[string]bool{}
	// The crashes of a fingerprint that is held are probably explained by it, so they block no other one meanwhile.
	reserved := map[*crash]bool{}
	for _, s := range t.repeated(explained, now) {
		if blocked[s.fingerprint] {
			continue
		}
		switch t.judge(s, now) {
		case Blocked:
			if slices.ContainsFunc(s.crashes, func(c *crash) bool { return !reserved[c] }) {
				return s.fingerprint, nil
			}
		case Suspect:
			held[s.fingerprint] = true
			for _, c := range s.crashes {
				reserved[c] = true
			}
		case Clear:
		}
	}
	return "", held
}

// nextChange returns the next time at which the verdicts change without a report: the reports on a crash are complete, or a
// crash expires.
func (t *CrashTracker) nextChange(now time.Time) time.Time {
	next := now.Add(t.condemnedExpiry)
	for _, c := range t.crashes {
		for _, d := range []time.Duration{t.settleTime, t.expiry, t.condemnedExpiry} {
			if at := c.at.Add(d); at.After(now) && at.Before(next) {
				next = at
			}
		}
	}
	return next
}

// suspect is a fingerprint with the unexplained crashes that count against it.
type suspect struct {
	fingerprint string
	crashes     []*crash
	clusters    []cluster
}

// newSuspect returns a fingerprint with crashes.
func (t *CrashTracker) newSuspect(fingerprint string, crashes []*crash) suspect {
	return suspect{fingerprint: fingerprint, crashes: crashes, clusters: t.clusters(fingerprint, crashes)}
}

// repeated returns the fingerprints that were in flight in at least two unexplained crashes, the ones with most crashes
// first and among these the narrower ones.
func (t *CrashTracker) repeated(explained map[*crash]bool, now time.Time) []suspect {
	var list []suspect
	for f, all := range t.crashesByFingerprint {
		if len(all) < 2 {
			continue
		}
		crashes := slices.DeleteFunc(t.unexpired(f, now), func(c *crash) bool { return explained[c] })
		if s := t.newSuspect(f, crashes); len(s.clusters) >= 2 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b suspect) int {
		return cmp.Or(
			cmp.Compare(len(b.clusters), len(a.clusters)), cmp.Compare(len(t.wider[b.fingerprint]), len(t.wider[a.fingerprint])),
			cmp.Compare(a.fingerprint, b.fingerprint),
		)
	})
	return list[:min(len(list), maxJudged)]
}

// judge returns Blocked if a fingerprint is the only one that explains enough crashes of which all reports have arrived,
// Suspect if that depends on reports that may yet arrive, else Clear. A fingerprint that has been blocked stays so while the
// reports on one more crash arrive.
func (t *CrashTracker) judge(s suspect, now time.Time) Verdict {
	settled := s
	arriving := func(c *crash) bool { return now.Sub(c.at) < t.settleTime }
	if slices.ContainsFunc(s.crashes, arriving) {
		settled = t.newSuspect(s.fingerprint, slices.DeleteFunc(slices.Clone(s.crashes), arriving))
	}
	isSettled := len(settled.crashes) == len(s.crashes)
	switch {
	case (isSettled || t.condemned[s.fingerprint]) && len(settled.clusters) >= t.crashesToBlock(s) && t.onlyCommon(settled):
		return Blocked
	case !isSettled && !t.narrowerCommon(s) && !t.strongerCommon(s):
		return Suspect
	default:
		return Clear
	}
}

// onlyCommon reports whether no other fingerprint that is as strongly suspected was in flight in all clusters, apart from wider
// parts of the same requests: to refuse the narrowest one is enough, and spares the requests that share only the wider parts.
func (t *CrashTracker) onlyCommon(s suspect) bool {
	counts := (*crash).counts
	if s.neverBegan() {
		counts = (*crash).countsUnbegun
	}
	return !t.narrowerCommon(s) && !s.anyCommon(func(other string) bool {
		return !slices.Contains(t.wider[s.fingerprint], other) && !slices.Contains(t.wider[other], s.fingerprint)
	}, counts)
}

// neverBegan reports whether the fingerprint had not begun in any of the crashes.
func (s suspect) neverBegan() bool {
	return !slices.ContainsFunc(s.crashes, func(c *crash) bool { return !c.countsUnbegun(s.fingerprint) })
}

// narrowerCommon reports whether a narrower fingerprint was in flight in each single crash.
func (t *CrashTracker) narrowerCommon(s suspect) bool {
	for f, counts := range s.crashes[0].inFlight {
		if counts && slices.Contains(t.wider[f], s.fingerprint) &&
			!slices.ContainsFunc(s.crashes, func(c *crash) bool { return !c.counts(f) }) {
			return true
		}
	}
	return false
}

// strongerCommon reports whether another fingerprint had not begun in any of the clusters, but was in flight in all of them,
// while the given one had begun. An upstream is rather crashed by a request that it begins than by one that it has been running.
func (t *CrashTracker) strongerCommon(s suspect) bool {
	return !s.neverBegan() && s.anyCommon(func(string) bool { return true }, (*crash).countsUnbegun)
}

// counts reports whether the crash counts against a fingerprint.
func (c *crash) counts(fingerprint string) bool { return c.inFlight[fingerprint] }

// countsUnbegun reports whether the crash counts against a fingerprint that had not begun.
func (c *crash) countsUnbegun(fingerprint string) bool {
	return c.inFlight[fingerprint] && !c.sentAt[fingerprint].IsZero()
}

// anyCommon reports whether each cluster has a crash that counts against another fingerprint that is accepted.
func (s suspect) anyCommon(accepts func(other string) bool, counts func(c *crash, fingerprint string) bool) bool {
	for _, first := range s.clusters[0] {
		for f := range first.inFlight {
			if f == s.fingerprint || !counts(first, f) || !accepts(f) {
				continue
			}
			if !slices.ContainsFunc(s.clusters[1:], func(l cluster) bool {
				return !slices.ContainsFunc(l, func(c *crash) bool { return counts(c, f) })
			}) {
				return true
			}
		}
	}
	return false
}

// crashesToBlock returns the number of crashes that block a fingerprint: two, or three if one of them was part of a mass
// failure. A mass failure does not free one that is blocked.
func (t *CrashTracker) crashesToBlock(s suspect) int {
	if t.condemned[s.fingerprint] {
		return 2
	}
	for _, c := range s.crashes {
		groups := map[string]bool{}
		for _, o := range t.crashes {
			if !o.inFlight[s.fingerprint] && o.group != c.group && o.at.Sub(c.at).Abs() <= massFailureWindow {
				groups[o.group] = true
			}
		}
		if len(groups) >= massFailureGroups {
			return 3
		}
	}
	return 2
}
