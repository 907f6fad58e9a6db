package mangodeputy

import "time"

const (
	// The time between two claims is minClaimInterval, or claimIntervalPerDaemon times the number of daemons in a large
	// fleet. Each claim goes to all daemons, so that the rate of messages stays the same as the fleet grows.
	minClaimInterval       = 300 * time.Millisecond
	claimIntervalPerDaemon = 5 * time.Millisecond
	// takeoverIntervals is the number of claim intervals without a claim after which the first daemon becomes the deputy.
	// Each later one waits takeoverIntervalsPerRank more; the additional wait stops growing at maxRank.
	takeoverIntervals        = 3
	takeoverIntervalsPerRank = 1
	maxRank                  = 8
)

// claimInterval returns the time between two claims in a fleet of the given number of daemons.
func claimInterval(daemons int) time.Duration {
	return max(minClaimInterval, time.Duration(daemons)*claimIntervalPerDaemon)
}

// clusterState is what a daemon knows at a moment about the store, the lease and the fleet.
type clusterState struct {
	// storeUnreachable says that neither this daemon nor any daemon that it hears from reaches the store.
	storeUnreachable bool
	// holdsLease says that this daemon still counts as the holder of the lease.
	holdsLease bool
	// fence is the fencing number of the last holder of the lease; 0 if none is known.
	fence uint64
	// rank is the number of daemons before this one in the order of names, and daemons the number of all.
	rank, daemons int
}

// election decides whether a daemon is the deputy. It is not safe for concurrent use.
type election struct {
	name string
	// acting says that this daemon is the deputy.
	acting bool
	// fence is the fencing number under which the deputy gives orders.
	fence uint64
	// silentSince is when the wait for a claim last started: when the store became unreachable, or with the last claim of
	// another daemon. It is zero while the store is reachable.
	silentSince time.Time
	// highestRefused is the highest fencing number that a replica refused.
	highestRefused uint64
}

// update applies the present state. It reports whether the store is unreachable and this daemon places layers, as the holder
// of the lease or as the deputy, so that it has to send claims.
func (e *election) update(cs clusterState, now time.Time) bool {
	if !cs.storeUnreachable {
		e.acting, e.silentSince = false, time.Time{}
		return false
	}
	if cs.holdsLease || e.silentSince.IsZero() {
		e.silentSince = now
	}
	if cs.holdsLease || cs.fence == 0 || cs.fence <= e.highestRefused {
		e.acting = false
		return cs.holdsLease
	}
	e.fence = cs.fence
	wait := time.Duration(takeoverIntervals+takeoverIntervalsPerRank*min(cs.rank, maxRank)) * claimInterval(cs.daemons)
	if now.Sub(e.silentSince) >= wait {
		e.acting = true
	}
	return e.acting
}

// claim is the message of another daemon that it places layers. holdsLease distinguishes the holder of the lease from a
// deputy.
type claim struct {
	name       string
	fence      uint64
	holdsLease bool
}

// handleClaim processes a claim of another daemon; it reports whether this daemon ceased to be the deputy. A deputy steps
// down for the holder of the lease. Of two deputies the one with the higher fencing number stays, or the first in the order
// of names if the numbers are equal.
func (e *election) handleClaim(c claim, now time.Time) bool {
	ranksLower := c.fence < e.fence || (c.fence == e.fence && c.name > e.name)
	if e.acting && !c.holdsLease && ranksLower {
		// The other deputy steps down when it receives a claim of this one.
		return false
	}
	if !e.silentSince.IsZero() {
		e.silentSince = now
	}
	wasActing := e.acting
	e.acting = false
	return wasActing
}

// renounce ends the role of deputy under a fencing number that a replica refused. This daemon can be the deputy again only
// under a higher one.
func (e *election) renounce(fence uint64) {
	e.highestRefused = max(e.highestRefused, fence)
	if e.fence <= e.highestRefused {
		e.acting = false
	}
}
