package mangocrash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstTrialDelay is the time after the last crash from which one request with a blocked fingerprint may run, which shows
	// whether it still crashes upstreams. Each further crash makes it trialDelayFactor times as long.
	firstTrialDelay  = 30 * time.Second
	trialDelayFactor = 4
	// maxTrialCrashes is the number of crashes from which there are no more trials.
	maxTrialCrashes = 5
	// trialTurn is the time in which one daemon may begin a trial. It begins none in the second half of it, so that the others
	// know the outcome before the turn of the next one.
	trialTurn = 10 * time.Second
)

// Refusal says why a request must not run.
type Refusal struct {
	// Fingerprint is that of the request or of the part because of which it must not run.
	Fingerprint string
	// Held says that the reports on the crashes may yet clear it. RetryAfter is the time until all of them have arrived; 0 if
	// the fingerprint is blocked.
	Held       bool
	RetryAfter time.Duration
	// Crashes is the number of crashes that count against the fingerprint.
	Crashes int
}

// Refuse reports whether a request must not run now, and why.
func (t *CrashTracker) Refuse(r Request, now time.Time) (Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refuse(r, now, func(string) bool { return false })
}

// Suspicion returns the largest number of crashes that count against a part of a request.
func (t *CrashTracker) Suspicion(r Request, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, p := range r.Parts {
		most = max(most, len(t.unexpired(p, now)))
	}
	return most
}

// Admit is like Refuse for a request that has not run yet. It lets through the request that is to show whether its blocked
// fingerprint still crashes upstreams, and reports that as a trial: Refuse goes on to refuse it.
func (t *CrashTracker) Admit(r Request, now time.Time) (refusal Refusal, refused, isTrial bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	refusal, refused = t.refuse(r, now, func(fingerprint string) bool { return t.trialDue(fingerprint, now) })
	if refused {
		return refusal, true, false
	}
	for _, f := range r.fingerprints() {
		if verdict, _ := t.evaluate(f, now); verdict == Blocked {
			isTrial = true
			t.triedAt[f] = now
			t.onVerdict(Change{Fingerprint: f, Event: Tried, Crashes: len(t.unexpired(f, now))})
		}
	}
	return Refusal{}, false, isTrial
}

// refuse returns the refusal for the first fingerprint of a request that is held, or blocked and not excepted.
func (t *CrashTracker) refuse(r Request, now time.Time, excepted func(fingerprint string) bool) (Refusal, bool) {
	for _, f := range r.fingerprints() {
		if len(t.crashesByFingerprint[f]) < 2 {
			continue
		}
		verdict, held := t.evaluate(f, now)
		crashes := t.unexpired(f, now)
		switch {
		case held:
			last := slices.MaxFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
			return Refusal{Fingerprint: f, Held: true, RetryAfter: t.settleTime - now.Sub(last.at), Crashes: len(crashes)}, true
		case verdict == Blocked && !excepted(f):
			return Refusal{Fingerprint: f, Crashes: len(crashes)}, true
		}
	}
	return Refusal{}, false
}

// trialDue reports whether this daemon may let a request with a blocked fingerprint through. The daemons that may do so take
// turns, which they count from the last crash as they know it.
func (t *CrashTracker) trialDue(fingerprint string, now time.Time) bool {
	crashes := t.unexpired(fingerprint, now)
	count := len(t.clusters(fingerprint, crashes))
	names := t.triers()
	if count >= maxTrialCrashes || len(names) == 0 {
		return false
	}
	delay := firstTrialDelay
	for range count - 2 {
		delay *= trialDelayFactor
	}
	last := slices.MaxFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	since := now.Sub(last.at) - delay
	if since < 0 || since%trialTurn >= trialTurn/2 || now.Sub(t.triedAt[fingerprint]) < trialTurn {
		return false
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(rendezvousWeight(a, fingerprint), rendezvousWeight(b, fingerprint))
	})
	return names[int(since/trialTurn)%len(names)] == t.self
}
