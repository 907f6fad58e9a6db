package mangocustomer

import (
	"math"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// reportExpiry is the age at which a peer's report expires. The peer is then assumed to use its even share.
const reportExpiry = 30 * time.Second

// peerUsage keeps the last report of each peer and their totals by customer.
type peerUsage struct {
	reports         map[string]*report
	totals          map[string]customerTotal
	nextExpiryCheck time.Time
}

// report is what a peer reported last about its customers.
type report struct {
	receivedAt time.Time
	usages     []*mangomessage.Usage
}

// customerTotal is the rate of a customer on all peers and the number of peers that reported one.
type customerTotal struct {
	callsPerMinute uint64
	peers          int
}

func newPeerUsage() peerUsage {
	return peerUsage{reports: map[string]*report{}, totals: map[string]customerTotal{}}
}

func (u *peerUsage) replace(peer string, usages []*mangomessage.Usage, now time.Time) {
	u.remove(peer)
	u.reports[peer] = &report{receivedAt: now, usages: usages}
	for _, m := range usages {
		s := u.totals[m.GetCustomer()]
		s.callsPerMinute += uint64(m.GetCallsPerMinute())
		s.peers++
		u.totals[m.GetCustomer()] = s
	}
}

func (u *peerUsage) remove(peer string) {
	r := u.reports[peer]
	if r == nil {
		return
	}
	delete(u.reports, peer)
	for _, m := range r.usages {
		s := u.totals[m.GetCustomer()]
		s.callsPerMinute -= uint64(m.GetCallsPerMinute())
		s.peers--
		u.totals[m.GetCustomer()] = s
		if s.peers == 0 {
			delete(u.totals, m.GetCustomer())
		}
	}
}

// customerUsage returns the rate of a customer on all peers in calls per second, the number of peers with calls of the
// customer, and the number of peers with a fresh report on any customer. It drops expired reports once a second.
func (u *peerUsage) customerUsage(customer string, now time.Time) (float64, int, int) {
	if !now.Before(u.nextExpiryCheck) {
		u.nextExpiryCheck = now.Add(time.Second)
		for p, r := range u.reports {
			if now.Sub(r.receivedAt) > reportExpiry {
				u.remove(p)
			}
		}
	}
	s := u.totals[customer]
	return float64(s.callsPerMinute) / 60, s.peers, len(u.reports)
}

// rateMeter measures the rate of events by an exponentially weighted average with rateTimeConstant.
type rateMeter struct {
	updatedAt time.Time
	// rateThen is the rate at updatedAt, in events per second.
	rateThen float64
}

func (m *rateMeter) add(now time.Time) {
	m.rateThen = m.rate(now) + 1/rateTimeConstant.Seconds()
	m.updatedAt = now
}

func (m *rateMeter) rate(now time.Time) float64 {
	return m.rateThen * math.Exp(-now.Sub(m.updatedAt).Seconds()/rateTimeConstant.Seconds())
}
