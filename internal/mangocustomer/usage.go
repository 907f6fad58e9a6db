package mangocustomer

import (
	"math"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// reportExpiry is the age past which a peer's report is not used; the peer then counts as using its even share.
const reportExpiry = 30 * time.Second

// usage sums the reports of the peers by customer.
type usage struct {
	peers map[string]*report
	sums  map[string]sum
	next  time.Time
}

type report struct {
	at     time.Time
	usages []*mangomessage.Usage
}

type sum struct {
	perMinute uint64
	users     int
}

func newUsage() usage { return usage{peers: map[string]*report{}, sums: map[string]sum{}} }

func (u *usage) replace(peer string, usages []*mangomessage.Usage, now time.Time) {
	u.drop(peer)
	u.peers[peer] = &report{at: now, usages: usages}
	for _, m := range usages {
		s := u.sums[m.GetCustomer()]
		s.perMinute += uint64(m.GetCallsPerMinute())
		s.users++
		u.sums[m.GetCustomer()] = s
	}
}

func (u *usage) drop(peer string) {
	r := u.peers[peer]
	if r == nil {
		return
	}
	delete(u.peers, peer)
	for _, m := range r.usages {
		s := u.sums[m.GetCustomer()]
		s.perMinute -= uint64(m.GetCallsPerMinute())
		s.users--
		u.sums[m.GetCustomer()] = s
		if s.users == 0 {
			delete(u.sums, m.GetCustomer())
		}
	}
}

// of returns the peers' rate in calls per second, the number of peers with calls and that of fresh reports.
func (u *usage) of(customer string, now time.Time) (float64, int, int) {
	if !now.Before(u.next) {
		u.next = now.Add(time.Second)
		for p, r := range u.peers {
			if now.Sub(r.at) > reportExpiry {
				u.drop(p)
			}
		}
	}
	s := u.sums[customer]
	return float64(s.perMinute) / 60, s.users, len(u.peers)
}

// meter measures a rate with exponentially fading weight.
type meter struct {
	at    time.Time
	value float64
}

func (m *meter) add(now time.Time) {
	m.value = m.rate(now) + 1/usageWindow.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/usageWindow.Seconds())
}
