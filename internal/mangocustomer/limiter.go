package mangocustomer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// customerIdleAfter is the time without calls after which a customer's state is dropped; its bucket is full again by then.
	customerIdleAfter = time.Minute
	// rateTimeConstant is the averaging time of the measured rate.
	rateTimeConstant = 2 * time.Second
	// daemonIdleAfter is the time without calls after which a daemon no longer counts as a user, so that its share goes to
	// others; 5 s and the fading of the rate alone left 29% unused when load moved every 20 s.
	daemonIdleAfter = 3 * time.Second
	// minBurst lets a daemon with a small share admit a few calls at once, up to a second's worth of the whole limit. A
	// caller's calls reach a daemon unevenly: at a burst of 1, eight daemons refused calls of customers that used a
	// quarter of their limit.
	minBurst = 5
)

// Limiter enforces the customers' rates across all daemons.
//
// Each daemon may always use the limit divided by the number of live daemons. What the reports of the others leave
// unused is divided among the daemons that have calls of the customer. The sum of all daemons may exceed the limit by
// less than one limit's worth for the age of the reports, when daemons without calls get some while others use their
// shares, and by one burst (a second's worth of its share, or minBurst if that is more) for each daemon.
type Limiter struct {
	mu        sync.Mutex
	daemons   int
	customers map[string]*customerState
	peerUsage peerUsage
	lastSweep time.Time
}

// customerState is what the limiter keeps of a customer with a limit that has calls here.
type customerState struct {
	bucket *rate.Limiter
	limit  float64
	// share is the local rate in calls per second.
	share float64
	// meter has the admitted calls; seen is the time of the last call, admitted or not.
	meter    rateMeter
	lastCall time.Time
}

// NewLimiter returns a limiter for a single daemon.
func NewLimiter() *Limiter {
	return &Limiter{daemons: 1, customers: map[string]*customerState{}, peerUsage: newPeerUsage()}
}

// SetDaemons sets the number of live daemons.
func (l *Limiter) SetDaemons(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = max(n, 1)
}

// Allow admits a call of a customer or refuses it with KindLimit. Customers without a limit take no state.
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
	return newRefusal(mangocall.KindLimit, after, "the customer's rate is used up")
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

// updateBucket sets the bucket to the present share.
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

// computeShare returns the local rate: the even computeShare, or this daemon's use plus its part of what is unused.
func (l *Limiter) computeShare(customer string, s *customerState, now time.Time) float64 {
	evenShare := s.limit / float64(l.daemons)
	peerRate, activePeers, reportingPeers := l.peerUsage.customerUsage(customer, now)
	// A daemon without a fresh report counts as using its even share.
	unreportedPeers := max(l.daemons-1-reportingPeers, 0)
	ownRate := s.meter.rate(now)
	unused := s.limit - ownRate - peerRate - float64(unreportedPeers)*evenShare
	return min(max(evenShare, ownRate+unused/float64(activePeers+unreportedPeers+1)), s.limit)
}

func burst(share, limit float64) int { return max(int(share), min(int(limit), minBurst), 1) }

// Observe replaces what a peer reported. The report has all customers with a limit that have calls there.
func (l *Limiter) Observe(peer string, usages []*mangomessage.Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerUsage.replace(peer, usages, now)
}

// RemovePeer drops the report of a peer that left.
func (l *Limiter) RemovePeer(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerUsage.remove(peer)
}

// Usages returns this daemon's report for its peers.
func (l *Limiter) Usages(now time.Time) []*mangomessage.Usage {
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

// dropIdleCustomers drops idle customers once in a while.
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
