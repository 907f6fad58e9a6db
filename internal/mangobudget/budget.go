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

// reserve is the part of the budget that is left unspent: requests and retries arrive later than they are counted here,
// and may so fall into the next window.
const reserve = 0.15

// Budget counts the requests and retries of one daemon. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// start is the origin of the times in windows; steps of the time of day do not change the distance to it.
	start    time.Time
	limit    Limit
	services map[string]*account
	// restarted says that there is no slack in the first window: the daemon may have spent all of it just before.
	restarted bool
	// most is the highest number of daemons seen. A daemon that is out of sight may still spend its share.
	most int
}

// account has the times of requests and retries of a service in the window.
type account struct {
	requests window
	retries  window
}

// Option sets a property of a Budget.
type Option func(*Budget)

// WithRestarted withholds the slack for the first window; it is for daemons that may have run a moment ago.
func WithRestarted(restarted bool) Option { return func(b *Budget) { b.restarted = restarted } }

// New returns a budget without requests.
func New(limit Limit, opts ...Option) *Budget {
	b := &Budget{start: time.Now(), limit: limit, services: map[string]*account{}, most: 1}
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

func (b *Budget) account(service string) *account {
	a := b.services[service]
	if a == nil {
		a = &account{}
		b.services[service] = a
	}
	return a
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).requests.add(now.Sub(b.start), b.limit.Window)
}

// Take spends one retry if the budget allows and a share of it is left for retries of more worth; daemons is the number of
// daemons that share it.
func (b *Budget) Take(service string, daemons int, keep float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = max(b.most, daemons)
	a := b.account(service)
	if float64(a.retries.count(now.Sub(b.start), b.limit.Window))+1 > b.allowance(a, now)*(1-keep) {
		return false
	}
	a.retries.add(now.Sub(b.start), b.limit.Window)
	return true
}

// Remaining returns the retries that may be sent now.
func (b *Budget) Remaining(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service)
	return max(0, b.allowance(a, now)-float64(a.retries.count(now.Sub(b.start), b.limit.Window)))
}

func (b *Budget) allowance(a *account, now time.Time) float64 {
	requests := float64(a.requests.count(now.Sub(b.start), b.limit.Window))
	slack := b.limit.Slack / float64(b.most)
	if b.restarted && now.Sub(b.start) < b.limit.Window {
		slack = 0
	}
	return (b.limit.Ratio*requests + slack) * (1 - reserve)
}
