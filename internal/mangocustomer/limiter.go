package mangocustomer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// idleAfter is the time without calls after which a customer's state is dropped; its bucket is full again by then.
	idleAfter = time.Minute
	// usageWindow is the averaging time of the measured rate.
	usageWindow = 2 * time.Second
	// quietAfter is the time without calls after which a daemon no longer counts as a user, so that its share goes to
	// others; 5 s and the fading of the rate alone left 29% unused when load moved every 20 s.
	quietAfter = 3 * time.Second
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
	mu      sync.Mutex
	daemons int
	states  map[string]*state
	usage   usage
	swept   time.Time
}

// state is what the limiter keeps of a customer with a limit that has calls here.
type state struct {
	bucket *rate.Limiter
	limit  float64
	// share is the local rate in calls per second.
	share float64
	// meter has the admitted calls; seen is the time of the last call, admitted or not.
	meter meter
	seen  time.Time
}

// NewLimiter returns a limiter for a single daemon.
func NewLimiter() *Limiter {
	return &Limiter{daemons: 1, states: map[string]*state{}, usage: newUsage()}
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
	l.sweep(now)
	s := l.state(c, now)
	s.seen = now
	l.adjust(c.GetName(), s, now)
	if s.bucket.AllowN(now, 1) {
		s.meter.add(now)
		return nil
	}
	missing := 1 - s.bucket.TokensAt(now)
	after := time.Duration(missing / s.share * float64(time.Second))
	return refuse(mangocall.KindLimit, after, "the customer's rate is used up")
}

func (l *Limiter) state(c *mangomessage.Customer, now time.Time) *state {
	s := l.states[c.GetName()]
	if s == nil {
		s = &state{meter: meter{at: now}}
		l.states[c.GetName()] = s
	}
	s.limit = float64(c.GetRatePerSecond())
	return s
}

// adjust sets the bucket to the present share.
func (l *Limiter) adjust(customer string, s *state, now time.Time) {
	share := l.share(customer, s, now)
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

// share returns the local rate: the even share, or this daemon's use plus its part of what is unused.
func (l *Limiter) share(customer string, s *state, now time.Time) float64 {
	even := s.limit / float64(l.daemons)
	others, users, reporting := l.usage.of(customer, now)
	// A daemon without a fresh report counts as using its even share.
	silent := max(l.daemons-1-reporting, 0)
	own := s.meter.rate(now)
	unused := s.limit - own - others - float64(silent)*even
	return min(max(even, own+unused/float64(users+silent+1)), s.limit)
}

func burst(share, limit float64) int { return max(int(share), min(int(limit), minBurst), 1) }

// Observe replaces what a peer reported. The report has all customers with a limit that have calls there.
func (l *Limiter) Observe(peer string, usages []*mangomessage.Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage.replace(peer, usages, now)
}

// RemovePeer drops the report of a peer that left.
func (l *Limiter) RemovePeer(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage.drop(peer)
}

// Usages returns this daemon's report for its peers.
func (l *Limiter) Usages(now time.Time) []*mangomessage.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var usages []*mangomessage.Usage
	for name, s := range l.states {
		perMinute := uint32(s.meter.rate(now)*60 + 0.5)
		if perMinute > 0 && now.Sub(s.seen) <= quietAfter {
			usages = append(usages, &mangomessage.Usage{Customer: name, CallsPerMinute: perMinute})
		}
	}
	return usages
}

// sweep drops idle customers once in a while.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < idleAfter/4 {
		return
	}
	l.swept = now
	for name, s := range l.states {
		if now.Sub(s.seen) > idleAfter {
			delete(l.states, name)
		}
	}
}
