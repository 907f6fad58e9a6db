package mangorelay

import (
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// minFreshWait is the least time for which a read must have waited for an event to show that the replicas of the chain run now.
	// An event that is read at once may have been in a buffer, behind a caller that reads slowly.
	minFreshWait = time.Millisecond
	// maxEventDelay is the longest time that an event takes from a stage to this daemon.
	maxEventDelay = 30 * time.Millisecond
	// provenDivisor divides the silence of a chain: an event of another stream within that part of it shows that a replica is not
	// the cause. A chain is checked after 3/2 of its gap at the earliest, so an event that passed the replica just before its loss
	// seldom counts, and then for one silencePoll. A third of the silence made 17 checks instead of 3 in
	// TestFleetFindsSilentReplica, as few streams have an event in 15 ms.
	provenDivisor = 2
)

// recordProgress records events for which a read waited since the given time. It reports whether they show that the replicas of the
// chain run now.
func (f *inFlightRequest) recordProgress(readBegun time.Time) bool {
	now := time.Now()
	if now.Sub(readBegun) < minFreshWait {
		return false
	}
	f.lastEventAt.Store(now.UnixNano())
	return true
}

// hasPassed reports whether an event of some request passed a replica within a time before now.
func (ix *inFlightIndex) hasPassed(r mangoreplica.Incarnation, within time.Duration, now time.Time) bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for f := range ix.byReplica[r] {
		if now.Sub(time.Unix(0, f.lastEventAt.Load())) < within {
			return true
		}
	}
	return false
}
