package mangosuspect

import "time"

// maxPassed bounds the crashes that progress clears, so that a request that crashes upstreams at changing points is still
// found.
const maxPassed = 3

// Passed clears a fingerprint whose call got further than where its last crash had found it. A request that crashes
// every upstream that runs it crashes again at the same point, so a call that passes it was aboard by chance.
func (s *CrashTracker) Passed(fingerprint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.aboard[fingerprint]) == 0 {
		return
	}
	passed := 0
	for _, c := range s.crashes {
		if counts, aboard := c.aboard[fingerprint]; aboard && !counts {
			passed++
		}
	}
	if passed >= maxPassed {
		return
	}
	s.clear(fingerprint, now, false)
	// Its hosts are free for the next suspect while the call goes on.
	for host, f := range s.busy {
		if f == fingerprint {
			delete(s.busy, host)
		}
	}
}
