package mangocrash

import "time"

// maxProgressClears bounds the crashes of which a fingerprint is cleared by progress, so that a request that crashes
// upstreams at changing points is still identified.
const maxProgressClears = 3

// ReportProgress clears a fingerprint whose call got further than the point at which its last crash interrupted it. A
// request that crashes every upstream crashes the next one at the same point, so a call that gets past it was only in flight
// by chance.
func (t *CrashTracker) ReportProgress(fingerprint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashesByFingerprint[fingerprint]) == 0 {
		return
	}
	cleared := 0
	for _, c := range t.crashes {
		if counts, inFlight := c.inFlight[fingerprint]; inFlight && !counts {
			cleared++
		}
	}
	if cleared >= maxProgressClears {
		return
	}
	t.clear(fingerprint, now, fromSelf)
	// The call is no longer a suspect, so its hosts may take another one while it still runs.
	for host, f := range t.suspectOnHost {
		if f == fingerprint {
			delete(t.suspectOnHost, host)
		}
	}
}
