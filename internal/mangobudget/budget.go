package mangobudget

import (
	"sync"
	"time"
)

// Limit is what all daemons together may send beyond the first try of each request.
type Limit struct {
	// Ratio is the number of retries for each request.
	Ratio float64
	// Slack is the number of retries in a window beside the ratio.
	Slack float64
	// Window is the span in which retries are counted.
	Window time.Duration
}

// unspentShare is the part of the budget that is left unspent: requests and retries arrive later than they are counted here,
// and may so fall into the next window.
const unspentShare = 0.15

// Budget counts the requests and retries of one daemon. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// start is the origin of the times in windows; steps of the time of day do not change the distance to it.
	start    time.Time
	limit    Limit
	services map[string]*serviceCounts
	// restarted says that there is no slack in the first window: the daemon may have spent all of it just before.
	restarted bool
	// maxDaemons is the highest number of daemons seen. A daemon that is out of sight may still spend its share.
	maxDaemons int
}

// serviceCounts has the times of requests and retries of a service in the window.
type serviceCounts struct {
	requests window
	retries  window
}

// Option sets a property of a Budget.
type Option func(*Budget)

// WithRestarted withholds the slack for the first window; it is for daemons that may have run a moment ago.
func WithRestarted(restarted bool) Option { return func(b *Budget) { b.restarted = restarted } }

// New returns a budget without requests.
func New(limit Limit, opts ...Option) *Budget {
	b := &Budget{start: time.Now(), limit: limit, services: map[string]*serviceCounts{}, maxDaemons: 1}
	for _, o := range opts {
		o(b)
	}
	return b
}

// SetLimit replaces the limit after a change of the settings.
func (b *Budget) SetLimit(limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

func (b *Budget) countsOf(service string) *serviceCounts {
	c := b.services[service]
	if c == nil {
		c = &serviceCounts{}
		b.services[service] = c
	}
	return c
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsOf(service).requests.add(now.Sub(b.start), b.limit.Window)
}

// Take spends one retry if the budget allows and a share of it is left for retries of more worth; daemons is the number of
// daemons that share it.
func (b *Budget) Take(service string, daemons int, reserved float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxDaemons = max(b.maxDaemons, daemons)
	c := b.countsOf(service)
	if float64(c.retries.count(now.Sub(b.start), b.limit.Window))+1 > b.allowance(c, now)*(1-reserved) {
		return false
	}
	c.retries.add(now.Sub(b.start), b.limit.Window)
	return true
}

// Remaining returns the retries that may be sent now.
func (b *Budget) Remaining(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service)
	return max(0, b.allowance(c, now)-float64(c.retries.count(now.Sub(b.start), b.limit.Window)))
}

func (b *Budget) allowance(c *serviceCounts, now time.Time) float64 {
	requests := float64(c.requests.count(now.Sub(b.start), b.limit.Window))
	slack := b.limit.Slack / float64(b.maxDaemons)
	if b.restarted && now.Sub(b.start) < b.limit.Window {
		slack = 0
	}
	return (b.limit.Ratio*requests + slack) * (1 - unspentShare)
}
