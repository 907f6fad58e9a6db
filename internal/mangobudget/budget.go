package mangobudget

import (
	"sync"
	"time"
)

// Limit bounds the retries that all daemons together may send to a service.
type Limit struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed in each window in addition to the ratio; the daemons share it equally.
	Slack float64
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration
}

// unspentShare is the share of the budget that is never spent. Requests and retries reach the service later than they are
// counted here, so that some of them fall into a later window there.
const unspentShare = 0.15

// Budget is one daemon's part of the retry budgets of all services. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// start is the origin of the times in windows. Times relative to it use the monotonic clock, so that setting the wall
	// clock does not shift the windows.
	start    time.Time
	limit    Limit
	services map[string]*serviceCounts
	// restarted says that there is no slack in the first window, since the previous process may just have spent it.
	restarted bool
	// maxDaemons is the highest number of daemons seen so far; 0 if none is known, and then there is no slack. It divides the
	// slack, because a daemon that is no longer seen may still spend its share.
	maxDaemons int
}

// serviceCounts has the requests and retries that were sent to a service within the window.
type serviceCounts struct {
	requests window
	retries  window
}

// Option configures a Budget.
type Option func(*Budget)

// WithRestarted withholds the slack in the first window if restarted is true: the daemon may have run a moment ago.
func WithRestarted(restarted bool) Option { return func(b *Budget) { b.restarted = restarted } }

// New returns a budget that has counted no requests.
func New(limit Limit, opts ...Option) *Budget {
	b := &Budget{start: time.Now(), limit: limit, services: map[string]*serviceCounts{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// SetLimit replaces the limit when the settings change.
func (b *Budget) SetLimit(limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// countsOf returns the counts of a service and creates them if there are none.
func (b *Budget) countsOf(service string) *serviceCounts {
	c := b.services[service]
	if c == nil {
		c = &serviceCounts{}
		b.services[service] = c
	}
	return c
}

// CountRequest counts a new request to a service, which increases the budget for its retries.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsOf(service).requests.add(now.Sub(b.start), b.limit.Window)
}

// Take spends one retry if that leaves the reserved share of the budget, which is kept for retries of higher priority.
// daemons is the number of daemons that are seen to share the budget; 0 if it is not known.
func (b *Budget) Take(service string, daemons int, reserved float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service)
	if !b.allows(c, daemons, reserved, now) {
		return false
	}
	c.retries.add(now.Sub(b.start), b.limit.Window)
	return true
}

// Available reports whether Take would succeed, and spends nothing.
func (b *Budget) Available(service string, daemons int, reserved float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.countsOf(service), daemons, reserved, now)
}

// allows reports whether one more retry leaves the reserved share. The caller holds b.mu.
func (b *Budget) allows(c *serviceCounts, daemons int, reserved float64, now time.Time) bool {
	b.maxDaemons = max(b.maxDaemons, daemons)
	return float64(c.retries.count(now.Sub(b.start), b.limit.Window))+1 <= b.allowance(c, b.maxDaemons, now)*(1-reserved)
}

// Remaining returns the number of retries to a service that may be sent now.
func (b *Budget) Remaining(service string, now time.Time) float64 {
	return b.RemainingAmong(service, 0, now)
}

// RemainingAmong returns what Remaining would return if this number of daemons shared the budget. It does not record the number.
func (b *Budget) RemainingAmong(service string, daemons int, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service)
	return max(0, b.allowance(c, max(b.maxDaemons, daemons), now)-float64(c.retries.count(now.Sub(b.start), b.limit.Window)))
}

// allowance returns the number of retries that this daemon may send in the present window. daemons is the highest number of daemons
// that were seen.
func (b *Budget) allowance(c *serviceCounts, daemons int, now time.Time) float64 {
	requests := float64(c.requests.count(now.Sub(b.start), b.limit.Window))
	slack := b.limit.Slack / float64(max(daemons, 1))
	if daemons == 0 {
		slack = 0
	}
	if b.restarted && now.Sub(b.start) < b.limit.Window {
		slack = 0
	}
	return (b.limit.Ratio*requests + slack) * (1 - unspentShare)
}
