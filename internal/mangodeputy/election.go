package mangodeputy

import "time"

const (
	// claimInterval is the least time between two claims, and claimShare the part of it for each daemon that is told, so
	// that a large fleet spends no more on claims than a small one.
	claimInterval = 300 * time.Millisecond
	claimShare    = 5 * time.Millisecond
	// patience is the time without a claim, in units of the interval, after which the first daemon takes over, and
	// rankPatience what each further one waits in addition, up to maxRank of them.
	patience     = 3
	rankPatience = 1
	maxRank      = 8
)

// interval returns the time between two claims in a fleet of a number of daemons.
func interval(daemons int) time.Duration {
	return max(claimInterval, time.Duration(daemons)*claimShare)
}

// input is what an election depends on at a moment.
type input struct {
	// alone says that neither this daemon nor any that it hears from reaches the store.
	alone bool
	// holds says that this daemon holds the lease, as far as can be known.
	holds bool
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
	// since is the start of the present time without a claim of another daemon; zero while the store can be reached.
	since time.Time
	// outranked is the highest fencing number that a replica refused.
	outranked uint64
}

// step applies the present input; it reports whether this daemon places layers and is to say so.
func (e *election) step(in input, now time.Time) bool {
	if !in.alone {
		e.acting, e.since = false, time.Time{}
		return false
	}
	if in.holds || e.since.IsZero() {
		e.since = now
	}
	if in.holds || in.fence == 0 || in.fence <= e.outranked {
		e.acting = false
		return in.holds
	}
	e.fence = in.fence
	wait := time.Duration(patience+rankPatience*min(in.rank, maxRank)) * interval(in.daemons)
	if now.Sub(e.since) >= wait {
		e.acting = true
	}
	return e.acting
}

// claim is what another daemon says of its right to place layers.
type claim struct {
	name   string
	fence  uint64
	holder bool
}

// hear takes a claim; it reports whether this daemon gave way.
func (e *election) hear(c claim, now time.Time) bool {
	lower := c.fence < e.fence || (c.fence == e.fence && c.name > e.name)
	if e.acting && !c.holder && lower {
		// The other daemon gives way when it hears of this one.
		return false
	}
	if !e.since.IsZero() {
		e.since = now
	}
	gave := e.acting
	e.acting = false
	return gave
}

// renounce ends the right to order under a fencing number that a replica refused.
func (e *election) renounce(fence uint64) {
	e.outranked = max(e.outranked, fence)
	if e.fence <= e.outranked {
		e.acting = false
	}
}
