package mangolimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// demandTime is the time constant of the measured demand, and shareTime that of this daemon's usual part of it.
	demandTime = 1500 * time.Millisecond
	shareTime  = 10 * time.Second
	// minMeasured is the least time over which a rate is measured.
	minMeasured = 400 * time.Millisecond
	// utilisation is the share of a limit that is used on average, since sends are spread at random.
	utilisation = 0.95
	// minPerSecond is the rate at which all daemons together go on sending to a replica whose limit is lower. Only its answers
	// show that the limit has ended.
	minPerSecond = 0.2
	// ownMargin bounds the sends of one daemon, as a multiple of its usual part of the limit. minOwnWeight lets a daemon whose part
	// is small send now and then.
	ownMargin    = 1.3
	minOwnWeight = 0.3
	// maxDemandAge is the age from which the demand of the others is unknown, and unknownDaemons the number of daemons that is
	// assumed as long as it is not known.
	maxDemandAge   = 3 * time.Second
	unknownDaemons = 100
)

// Limit is what a replica names as its limit, or the end of it.
type Limit struct {
	Replica mangoreplica.Incarnation
	Service string
	// Named says that there is a limit, of PerSecond requests a second from all daemons together.
	Named     bool
	PerSecond float64
	At        time.Time
}

// Fleet tells what the other daemons report.
type Fleet interface {
	// OtherDemand returns the requests a second that the other daemons could send to a replica, and how old that is.
	OtherDemand(id string, now time.Time) (perSecond float64, age time.Duration)
	// Daemons returns the number of live daemons; 0 if it is not known.
	Daemons() int
}

// Limiter holds the limits of replicas and the demand of this daemon. It is safe for concurrent use.
type Limiter struct {
	fleet  Fleet
	random func() float64

	mu sync.Mutex
	// limits has the last statement of each replica that has named a limit.
	limits map[mangoreplica.Incarnation]*limitState
	// demands and positions have, by service, the demand of this daemon and the position of its last draw.
	demands   map[string]*meter
	positions map[string]float64
}

// limitState is a limit with the sends of this daemon to the replica.
type limitState struct {
	Limit
	sends meter
	// share is this daemon's usual part of the demand, as of shareAt.
	share   float64
	shareAt time.Time
}

// Option sets a property of a Limiter.
type Option func(*Limiter)

// WithRandom replaces the source of random numbers in [0, 1).
func WithRandom(f func() float64) Option { return func(l *Limiter) { l.random = f } }

// New returns a limiter without limits.
func New(fleet Fleet, opts ...Option) *Limiter {
	l := &Limiter{
		fleet: fleet, random: rand.Float64, limits: map[mangoreplica.Incarnation]*limitState{}, demands: map[string]*meter{},
		positions: map[string]float64{},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Record takes a statement of a replica, unless a later one is known, and reports whether the limit changed.
func (l *Limiter) Record(statement Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.limits[statement.Replica]
	switch {
	case old == nil && !statement.Named, old != nil && statement.At.Before(old.At):
		return false
	case old == nil:
		l.limits[statement.Replica] = &limitState{Limit: statement}
		return true
	}
	changed := old.Named != statement.Named || (statement.Named && old.PerSecond != statement.PerSecond)
	old.Limit = statement
	return changed
}

// Prune drops the limits of replicas that have started anew or are gone.
func (l *Limiter) Prune(fleet *mangoreplica.Fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.limits {
		if r := fleet.ByID(i.ID); r == nil || r.Born != i.Born {
			delete(l.limits, i)
		}
	}
}

// AddDemand adds the demand of this daemon for replicas with a limit to its loads on replicas.
func (l *Limiter) AddDemand(loads map[string]mangoreplica.Load, now time.Time) map[string]mangoreplica.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, s := range l.limits {
		if demand := l.ownDemand(s.Service, now); s.Named && demand > 0 {
			loads[i.ID] = loads[i.ID].With(mangoreplica.Load{Demand: demand})
		}
	}
	return loads
}

func (l *Limiter) ownDemand(service string, now time.Time) float64 {
	if m := l.demands[service]; m != nil {
		return m.perSecond(now, demandTime)
	}
	return 0
}

// CountSend counts a request that is sent to a replica.
func (l *Limiter) CountSend(r mangoreplica.Incarnation, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.limits[r]; s != nil {
		s.sends.add(now, demandTime)
	}
}

// Draw says which of the replicas with a limit one request may be sent to.
type Draw struct {
	denied map[mangoreplica.Incarnation]bool
	// capacity and demand are the requests a second that the limits of the service allow, and those that all daemons have.
	capacity, demand float64
}

// Allows reports whether the request may be sent to a replica.
func (d Draw) Allows(r mangoreplica.Incarnation) bool { return !d.denied[r] }

// Denies reports whether there is any replica to which the request may not be sent.
func (d Draw) Denies() bool { return len(d.denied) > 0 }

// Excess returns how many times the limits of the service the demand is, at least 1.
func (d Draw) Excess() float64 {
	if d.capacity <= 0 {
		return 1
	}
	return max(d.demand/d.capacity, 1)
}

// goldenRatio is the step between two positions of draws, which spreads them evenly however many there are.
var goldenRatio = (math.Sqrt(5) - 1) / 2

// Draw counts a request of a service as demand and draws the replicas with a limit that it may be sent to.
//
// The shares of the replicas lie one after the other on a circle, and a request may be sent to those whose share its position is
// in. So if their sum is at most 1, no request takes the chance of another one, and above it each request has one.
func (l *Limiter) Draw(service string, now time.Time) Draw {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.demands[service]
	if m == nil {
		m = &meter{}
		l.demands[service] = m
		l.positions[service] = l.random()
	}
	m.add(now, demandTime)
	position := math.Mod(l.positions[service]+goldenRatio, 1)
	l.positions[service] = position
	own := m.perSecond(now, demandTime)
	draw, start := Draw{}, 0.0
	for _, s := range l.limited(service) {
		allowed, demand := l.updateAllowance(s, own, now)
		share := min(allowed/demand, 1)
		draw.capacity, draw.demand = draw.capacity+allowed, max(draw.demand, demand)
		if math.Mod(position-start+1, 1) >= share || s.aheadOfShare(allowed, now) {
			if draw.denied == nil {
				draw.denied = map[mangoreplica.Incarnation]bool{}
			}
			draw.denied[s.Replica] = true
		}
		start = math.Mod(start+share, 1)
	}
	return draw
}

// updateAllowance updates the usual share of this daemon in the demand for a replica, where own is its present demand. It returns the
// requests a second that the replica takes from all daemons together, and those that all daemons have for it.
func (l *Limiter) updateAllowance(s *limitState, own float64, now time.Time) (allowed, demand float64) {
	demand = own + l.otherDemand(s.Replica.ID, own, now)
	s.updateShare(own/demand, now)
	return max(utilisation*s.PerSecond, minPerSecond), demand
}

// limited returns the replicas of a service that name a limit, in the order of their ids.
func (l *Limiter) limited(service string) []*limitState {
	var list []*limitState
	for _, s := range l.limits {
		if s.Named && s.Service == service {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *limitState) int { return cmp.Compare(a.Replica.ID, b.Replica.ID) })
	return list
}

// otherDemand returns the demand of the other daemons for a replica. If nothing recent is known, each is assumed to have that of
// this daemon.
func (l *Limiter) otherDemand(id string, own float64, now time.Time) float64 {
	demand, age := l.fleet.OtherDemand(id, now)
	daemons := l.fleet.Daemons()
	switch {
	case daemons == 0:
		return own * unknownDaemons
	case daemons == 1:
		return 0
	case age > maxDemandAge, demand <= 0:
		return own * float64(daemons-1)
	default:
		return demand
	}
}

// updateShare takes this daemon's present part of the demand.
func (s *limitState) updateShare(part float64, now time.Time) {
	if s.shareAt.IsZero() {
		s.share = part
	}
	s.share += (part - s.share) * (1 - decay(now.Sub(s.shareAt), shareTime))
	s.shareAt = now
}

// aheadOfShare reports whether this daemon has sent more to the replica than its usual part of what is allowed.
func (s *limitState) aheadOfShare(allowed float64, now time.Time) bool {
	const half = 0.5 // The request that is to be sent counts for one, so that the mean stays below the bound.
	bound := ownMargin*allowed*s.share*demandTime.Seconds() - half
	return s.sends.weight*decay(now.Sub(s.sends.at), demandTime) > max(bound, minOwnWeight)
}
