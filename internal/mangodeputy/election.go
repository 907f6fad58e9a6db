package mangodeputy

import "time"

const (
	// minClaimInterval is the least time between two claims, and claimShare the part of it for each daemon that is told, so
	// that a large fleet spends no more on claims than a small one.
	minClaimInterval       = 300 * time.Millisecond
	claimIntervalPerDaemon = 5 * time.Millisecond
	// takeoverIntervals is the time without a claim, in units of the interval, after which the first daemon takes over, and
	// rankPatience what each further one waits in addition, up to maxRank of them.
	takeoverIntervals        = 3
	takeoverIntervalsPerRank = 1
	maxRank                  = 8
)

// claimInterval returns the time between two claims in a fleet of a number of daemons.
func claimInterval(daemons int) time.Duration {
	return max(minClaimInterval, time.Duration(daemons)*claimIntervalPerDaemon)
}

// clusterState is what an election depends on at a moment.
type clusterState struct {
	// storeUnreachable says that neither this daemon nor any that it hears from reaches the store.
	storeUnreachable bool
	// holdsLease says that this daemon holdsLease the lease, as far as can be known.
	holdsLease bool
	// fence is the fencing number of the last holder; 0 if none is known.
	fence uint64
	// rank is the number of daemons before this one in the order of names, and daemons that of all.
	rank, daemons int
}

// election decides whether a daemon is the deputy. It is not safe for concurrent use.
type election struct {
	name   string
	acting bool
	fence  uint64
	// silentSince is the start of the present time without a claim of another daemon; zero while the store can be reached.
	silentSince time.Time
	// highestRefused is the highest fencing number that a replica refused.
	highestRefused uint64
}

// update applies the present input; it reports whether this daemon places layers and is to say so.
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

// claim is what another daemon says of its right to place layers.
type claim struct {
	name       string
	fence      uint64
	holdsLease bool
}

// handleClaim takes a claim; it reports whether this daemon gave way.
func (e *election) handleClaim(c claim, now time.Time) bool {
	ranksLower := c.fence < e.fence || (c.fence == e.fence && c.name > e.name)
	if e.acting && !c.holdsLease && ranksLower {
		// The other daemon gives way when it hears of this one.
		return false
	}
	if !e.silentSince.IsZero() {
		e.silentSince = now
	}
	wasActing := e.acting
	e.acting = false
	return wasActing
}

// renounce ends the right to order under a fencing number that a replica refused.
func (e *election) renounce(fence uint64) {
	e.highestRefused = max(e.highestRefused, fence)
	if e.fence <= e.highestRefused {
		e.acting = false
	}
}
