package mangolimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// report is the demand of a daemon on its way to the others.
type report struct {
	at     time.Time
	demand map[string]float64
}

// peer is a daemon of the model and the Fleet of its limiter.
type peer struct {
	limiter *Limiter
	daemons int
	// sent has its reports, the last one being the newest that the others have.
	sent []report
	// known is the sum of the demand of the others, as of knownAt.
	known   map[string]float64
	knownAt time.Time
}

func (p *peer) OtherDemand(id string, now time.Time) (float64, time.Duration) {
	return p.known[id], now.Sub(p.knownAt)
}

func (p *peer) Daemons() int { return p.daemons }

// limitModel is a fleet of daemons that send the requests of one service to replicas, of which some name a limit, and that learn
// the demand of the others after a time.
type limitModel struct {
	rng   *rand.Rand
	now   time.Time
	peers []*peer
	lag   time.Duration
	// weights divide the requests among the daemons.
	weights []float64
	// sends has the times of the sends to each replica.
	sends   map[mangoreplica.Incarnation][]time.Time
	refused int
	limits  []Limit
}

const modelTick = 10 * time.Millisecond

func newLimitModel(seed uint64, daemons int, lag time.Duration, perSecond ...float64) *limitModel {
	m := &limitModel{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), lag: lag, sends: map[mangoreplica.Incarnation][]time.Time{}}
	for i := range daemons {
		p := &peer{daemons: daemons}
		p.limiter = New(p, WithRandom(m.rng.Float64))
		m.peers = append(m.peers, p)
		m.weights = append(m.weights, 1+float64(i%4))
	}
	for i, n := range perSecond {
		m.limits = append(m.limits, Limit{Replica: mangoreplica.Incarnation{ID: fmt.Sprint("r", i)}, Service: "s", Named: true, PerSecond: n})
	}
	return m
}

// name makes all daemons know the limits.
func (m *limitModel) name() {
	for _, p := range m.peers {
		for _, l := range m.limits {
			l.At = m.now
			p.limiter.Record(l)
		}
	}
}

// exchange lets each daemon know what the others reported before the lag.
func (m *limitModel) exchange() {
	total := map[string]float64{}
	latest := make([]map[string]float64, len(m.peers))
	for i, p := range m.peers {
		demand := map[string]float64{}
		for id, l := range p.limiter.AddDemand(map[string]mangoreplica.Load{}, m.now) {
			demand[id] = l.Demand
		}
		p.sent = append(p.sent, report{at: m.now, demand: demand})
		for len(p.sent) > 1 && m.now.Sub(p.sent[1].at) >= m.lag {
			p.sent = p.sent[1:]
		}
		if m.now.Sub(p.sent[0].at) >= m.lag {
			latest[i] = p.sent[0].demand
		}
		for id, d := range latest[i] {
			total[id] += d
		}
	}
	for i, p := range m.peers {
		p.known, p.knownAt = map[string]float64{}, m.now
		for id, d := range total {
			p.known[id] = d - latest[i][id]
		}
	}
}

// run lets requests come at a rate for a time. Each goes to the first replica that it may be sent to; it is refused if there is
// none, or goes to a replica without a limit if there is one.
func (m *limitModel) run(perSecond float64, d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelTick) {
		if m.now.UnixMilli()%250 == 0 {
			m.exchange()
		}
		for range m.poisson(perSecond * modelTick.Seconds()) {
			m.request(m.peers[m.pick()])
		}
	}
}

func (m *limitModel) request(p *peer) {
	draw := p.limiter.Draw("s", m.now)
	for _, l := range m.limits {
		if draw.Allows(l.Replica) {
			p.limiter.CountSend(l.Replica, m.now)
			m.sends[l.Replica] = append(m.sends[l.Replica], m.now)
			return
		}
	}
	m.refused++
}

// poisson returns a random number of events with a mean.
func (m *limitModel) poisson(mean float64) int {
	n := 0
	for left := mean - m.rng.ExpFloat64(); left > 0; left -= m.rng.ExpFloat64() {
		n++
	}
	return n
}

// pick returns a daemon by the weights.
func (m *limitModel) pick() int {
	sum := 0.0
	for _, w := range m.weights {
		sum += w
	}
	x := m.rng.Float64() * sum
	for i, w := range m.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(m.weights) - 1
}

// most returns the largest number of sends to a replica within a time, from a moment on.
func (m *limitModel) most(r mangoreplica.Incarnation, from time.Time, within time.Duration) int {
	times := slices.DeleteFunc(slices.Clone(m.sends[r]), func(t time.Time) bool { return t.Before(from) })
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > within {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// limitWindow and the bound below are the users' rule: in any 4 s at most one and a half times the limit and five requests.
const limitWindow = 4 * time.Second

func allowedIn(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// Guards against more requests of all daemons together than a replica's limit, whatever they know of each other, and against
// leaving a large part of a limit unused.
func TestLimitIsSharedByAllDaemons(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		lag     time.Duration
		limits  []float64
		// rate is the requests a second, and burst what follows for 6 s; 0 for none.
		rate, burst float64
		// used is the least part of the limits that is used in calm.
		used float64
	}{
		{"seven daemons", 7, time.Second, []float64{10}, 65, 0, 0.8},
		{"two replicas", 7, time.Second, []float64{10, 12}, 65, 0, 0.8},
		{"known late", 7, 2 * time.Second, []float64{10}, 65, 0, 0.8},
		{"less demand than the limits", 7, time.Second, []float64{10, 12}, 8, 0, 0},
		{"a fraction", 7, time.Second, []float64{0.4}, 65, 0, 0},
		{"nothing", 7, time.Second, []float64{0}, 65, 0, 0},
		{"a burst", 7, time.Second, []float64{10}, 65, 200, 0.8},
		{"a burst known late", 7, 2 * time.Second, []float64{10}, 65, 200, 0.8},
		{"one daemon", 1, time.Second, []float64{10}, 65, 200, 0.8},
		{"295 daemons", 295, time.Second, []float64{10}, 65, 0, 0.8},
		{"295 daemons, known late", 295, 2 * time.Second, []float64{10, 10, 10}, 300, 0, 0.8},
		{"295 daemons, a burst", 295, time.Second, []float64{10}, 65, 130, 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			worst, usedLeast := 0.0, 1.0
			for seed := range uint64(5) {
				m := newLimitModel(seed, tt.daemons, tt.lag, tt.limits...)
				m.run(tt.rate, 5*time.Second)
				m.name()
				named := m.now
				m.run(tt.rate, 20*time.Second)
				calm := m.now
				sum, limits := 0, 0.0
				for _, l := range m.limits {
					limits += l.PerSecond
					for _, at := range m.sends[l.Replica] {
						if at.After(named.Add(5 * time.Second)) {
							sum++
						}
					}
				}
				if tt.used > 0 {
					usedLeast = min(usedLeast, float64(sum)/(limits*calm.Sub(named.Add(5*time.Second)).Seconds()))
				}
				if tt.burst > 0 {
					m.run(tt.burst, 6*time.Second)
				}
				m.run(tt.rate, 5*time.Second)
				for _, l := range m.limits {
					// The rule begins 3 s after a limit was named.
					most := m.most(l.Replica, named.Add(3*time.Second), limitWindow)
					worst = max(worst, float64(most)/float64(allowedIn(l.PerSecond)))
					is.True(most <= allowedIn(l.PerSecond))
				}
			}
			t.Logf("most in 4 s: %.2f of what is allowed; least use of the limits in calm: %.2f", worst, usedLeast)
			is.True(usedLeast >= tt.used)
		})
	}
}

// Guards against an outdated word of another daemon that ends a limit or brings it back, and against a limit that stays although
// the replica no longer names it.
func TestStatementsOnLimits(t *testing.T) {
	r := mangoreplica.Incarnation{ID: "r", Born: 7}
	at := time.Unix(1000, 0)
	statement := func(named bool, perSecond float64, after time.Duration) Limit {
		return Limit{Replica: r, Service: "s", Named: named, PerSecond: perSecond, At: at.Add(after)}
	}
	tests := []struct {
		name       string
		statements []Limit
		changes    []bool
		limited    bool
	}{
		{"never named", []Limit{statement(false, 0, 0)}, []bool{false}, false},
		{"named", []Limit{statement(true, 0, 0)}, []bool{true}, true},
		{"named again", []Limit{statement(true, 0, 0), statement(true, 0, 1)}, []bool{true, false}, true},
		{"lowered", []Limit{statement(true, 9, 0), statement(true, 0, 1)}, []bool{true, true}, true},
		{"ended", []Limit{statement(true, 0, 0), statement(false, 0, 1)}, []bool{true, true}, false},
		{"ended, told late", []Limit{statement(true, 0, 5), statement(false, 0, 1)}, []bool{true, false}, true},
		{"named before it ended, told late", []Limit{statement(true, 0, 0), statement(false, 0, 5), statement(true, 0, 2)}, []bool{true, true, false}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := New(&peer{daemons: 1}, WithRandom(func() float64 { return 0.5 }))
			for i, s := range tt.statements {
				is.Equal(l.Record(s), tt.changes[i])
			}
			denied := 0
			for i := range 50 {
				if !l.Draw("s", at.Add(time.Duration(i)*20*time.Millisecond)).Allows(r) {
					denied++
				}
			}
			is.Equal(denied > 0, tt.limited)
			l.Prune(mangoreplica.NewFleet([]*mangoreplica.Replica{{ID: "r", Born: 8}}))
			is.True(!l.Draw("s", at).Denies())
		})
	}
}
