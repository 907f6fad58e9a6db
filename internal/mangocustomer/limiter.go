package mangocustomer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// customerIdleAfter is the time without calls after which a customer's state is dropped. A bucket that refills at a
	// sixtieth of its burst per second or faster is full again by then.
	customerIdleAfter = time.Minute
	// rateTimeConstant is the time constant of the exponential average of the call rate.
	rateTimeConstant = 2 * time.Second
	// daemonIdleAfter is the time without calls of a customer after which a daemon no longer reports its rate, so that its
	// share goes to other daemons. 5 s and the decay of the measured rate alone left 29% of the limit unused when load moved
	// every 20 s.
	daemonIdleAfter = 3 * time.Second
	// minBurst is the least burst of a daemon with a small share, but no more than one second of the whole limit. The calls of
	// a customer reach a daemon unevenly: at a burst of 1, eight daemons refused calls of customers that used a quarter of
	// their limit.
	minBurst = 5
)

// Limiter enforces the rate limits of customers across all daemons.
//
// Each daemon may always use an even share, the limit divided by the number of live daemons. What is unused according to the
// reports of the other daemons is divided among the daemons that have calls of the customer. If idle daemons get calls while
// others still use their shares, the total rate stays below twice the limit until new reports arrive. In addition, each
// daemon may admit one burst: one second of its share, or minBurst if that is more.
type Limiter struct {
	mu sync.Mutex
	// daemons is the number of live daemons, including this one.
	daemons   int
	customers map[string]*customerState
	peerUsage peerUsage
	lastSweep time.Time
}

// customerState is the state of a customer that has a limit and recent calls on this daemon.
type customerState struct {
	bucket *rate.Limiter
	limit  float64
	// share is the part of the limit that this daemon may use, in calls per second.
	share float64
	// meter measures the rate of admitted calls.
	meter rateMeter
	// lastCall is the time of the last call, admitted or not.
	lastCall time.Time
}

// NewLimiter returns a limiter for a single daemon.
func NewLimiter() *Limiter {
	return &Limiter{daemons: 1, customers: map[string]*customerState{}, peerUsage: newPeerUsage()}
}

// SetDaemonCount sets the number of live daemons, including this one.
func (l *Limiter) SetDaemonCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = max(n, 1)
}

// Allow admits a call of a customer or refuses it with KindLimit. No state is kept for customers without a limit.
func (l *Limiter) Allow(c *mangomessage.Customer, now time.Time) error {
	if c.GetRatePerSecond() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropIdleCustomers(now)
	s := l.customerState(c, now)
	s.lastCall = now
	l.updateBucket(c.GetName(), s, now)
	if s.bucket.AllowN(now, 1) {
		s.meter.add(now)
		return nil
	}
	missing := 1 - s.bucket.TokensAt(now)
	after := time.Duration(missing / s.share * float64(time.Second))
	return newRefusal(mangocall.KindLimit, after, "the rate limit of the customer is exhausted")
}

func (l *Limiter) customerState(c *mangomessage.Customer, now time.Time) *customerState {
	s := l.customers[c.GetName()]
	if s == nil {
		s = &customerState{meter: rateMeter{updatedAt: now}}
		l.customers[c.GetName()] = s
	}
	s.limit = float64(c.GetRatePerSecond())
	return s
}

// updateBucket sets the rate and burst of the bucket to the current share.
func (l *Limiter) updateBucket(customer string, s *customerState, now time.Time) {
	share := l.computeShare(customer, s, now)
	if s.bucket == nil {
		s.share = share
		s.bucket = rate.NewLimiter(rate.Limit(share), burst(share, s.limit))
		return
	}
	if share != s.share {
		s.share = share
		s.bucket.SetLimitAt(now, rate.Limit(share))
		s.bucket.SetBurstAt(now, burst(share, s.limit))
	}
}

// computeShare returns the part of the limit that this daemon may use: the even share, or its own rate plus its part of the
// unused rest if that is more.
func (l *Limiter) computeShare(customer string, s *customerState, now time.Time) float64 {
	evenShare := s.limit / float64(l.daemons)
	peerRate, activePeers, reportingPeers := l.peerUsage.customerUsage(customer, now)
	// A peer without a fresh report is assumed to use its even share.
	unreportedPeers := max(l.daemons-1-reportingPeers, 0)
	ownRate := s.meter.rate(now)
	unused := s.limit - ownRate - peerRate - float64(unreportedPeers)*evenShare
	return min(max(evenShare, ownRate+unused/float64(activePeers+unreportedPeers+1)), s.limit)
}

// burst returns the size of a bucket in calls: one second of the share, but at least the smaller of minBurst and one second
// of the limit, and at least 1.
func burst(share, limit float64) int { return max(int(share), min(int(limit), minBurst), 1) }

// RecordPeerUsages replaces the report of a peer, which lists all customers that have a limit and recent calls there.
func (l *Limiter) RecordPeerUsages(peer string, usages []*mangomessage.Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerUsage.replace(peer, usages, now)
}

// RemovePeer drops the report of a peer that is gone.
func (l *Limiter) RemovePeer(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerUsage.remove(peer)
}

// LocalUsages returns this daemon's report for its peers: the rate of each customer with recent calls.
func (l *Limiter) LocalUsages(now time.Time) []*mangomessage.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var usages []*mangomessage.Usage
	for customer, s := range l.customers {
		perMinute := uint32(s.meter.rate(now)*60 + 0.5)
		if perMinute > 0 && now.Sub(s.lastCall) <= daemonIdleAfter {
			usages = append(usages, &mangomessage.Usage{Customer: customer, CallsPerMinute: perMinute})
		}
	}
	return usages
}

// dropIdleCustomers drops the state of idle customers; it searches at most four times per customerIdleAfter.
func (l *Limiter) dropIdleCustomers(now time.Time) {
	if now.Sub(l.lastSweep) < customerIdleAfter/4 {
		return
	}
	l.lastSweep = now
	for customer, s := range l.customers {
		if now.Sub(s.lastCall) > customerIdleAfter {
			delete(l.customers, customer)
		}
	}
}
