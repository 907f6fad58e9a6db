package mangocapacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangodelay"
)

const (
	modelStep    = 5 * time.Millisecond
	modelTarget  = 500 * time.Millisecond
	modelTimeout = 20 * time.Second
	// modelTokenTime is the time of one token of an answer.
	modelTokenTime = 5 * time.Millisecond
	modelService   = "s"
	// modelSlack is the number of retries of the fleet in 10 s beyond 0.2 for each request.
	modelSlack = 306
)

// modelLoad is a load that the model plays: a steady part, and bursts on top of it.
type modelLoad struct {
	daemons int
	// capacity is the memory of one of three data centres in tokens, and readRate the prompt tokens per second that it reads.
	capacity, readRate float64
	// steady has requests per second by rank.
	steady []float64
	bursts []modelBurst
	// lostFrom and lostTo are when the first data centre is lost; none if they are equal.
	lostFrom, lostTo time.Duration
	// impatient callers return 100 ms after each refusal.
	impatient bool
	length    time.Duration
}

// modelBurst adds requests of one kind for a time.
type modelBurst struct {
	from, to  time.Duration
	perSecond float64
	rank      int
	// customer is 0 for the many customers of the steady load.
	customer int
	// scale multiplies the size of prompts and answers.
	scale float64
}

// modelRequest is a request of a caller over all its attempts.
type modelRequest struct {
	key            RefusalKey
	rank, customer int
	prompt, answer float64
	// first is when its caller came first, arrived when it came last.
	first, arrived time.Duration
	refusals       int
	sends          int
	daemon         *modelDaemon
	site           int
	pending        *mangodelay.PendingRequest
	send           *Send
	unread         float64
	firstEvent     time.Duration
	endsAt         time.Duration
	done           bool
}

func (r *modelRequest) memory() float64 { return r.prompt + r.answer/2 }

func (r *modelRequest) work() Work {
	return Work{Tokens: r.memory(), PromptTokens: r.prompt, AnswerTokens: r.answer}
}

// modelSite is a data centre: memory, a queue of prompts that are read one after the other, and running answers.
type modelSite struct {
	used    float64
	queue   []*modelRequest
	running []*modelRequest
}

type modelDaemon struct {
	tracker *Tracker
	delays  *mangodelay.Estimator
	// own is this daemon's load on each site, and others that of the others as told last.
	own, others [3]float64
	fullUntil   [3]time.Duration
	// viewLag is how old a report of the fleet is when it arrives.
	viewLag time.Duration
	// local is the data centre of the daemon.
	local int
}

// modelSnapshot is what the hubs summed up at a time.
type modelSnapshot struct {
	at     time.Duration
	total  Report
	used   [3]float64
	own    []Report
	ownUse [][3]float64
}

// modelResult counts requests by what became of them.
type modelResult struct {
	all, onTime, served, refused, refusedTwice int
}

// String lists the shares of all requests.
func (r modelResult) String() string {
	n := math.Max(float64(r.all), 1)
	return fmt.Sprintf(
		"%d, on time %.3f, served %.3f, refused %.3f, twice %.3f", r.all, float64(r.onTime)/n, r.servedShare(), float64(r.refused)/n, r.refusedTwiceShare(),
	)
}

func (r modelResult) refusedTwiceShare() float64 {
	return float64(r.refusedTwice) / math.Max(float64(r.all), 1)
}

// servedShare is the share of the requests that were served in the end.
func (r modelResult) servedShare() float64 { return float64(r.served) / math.Max(float64(r.all), 1) }

// fleetModel plays a load against daemons that decide by the shared view, or by the rule without ranks.
type fleetModel struct {
	load      modelLoad
	local     bool
	random    *rand.Rand
	sites     [3]modelSite
	daemons   []*modelDaemon
	snapshots []modelSnapshot
	// returns has the callers that come back, and done all that ended.
	returns []*modelRequest
	all     []*modelRequest
	// requests and retries of the fleet in the last 10 s.
	requests, retries []time.Duration
	// replicaRefusals counts sends that found no memory, arrivals all sends.
	replicaRefusals, arrivals int
	// shedWithRoom counts refusals while under half of the memory was in use and nothing waited.
	shedWithRoom, shed int
	// admitted has the requests that passed in each 250 ms, offered all.
	admitted, offered []int
	now               time.Duration
}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func newFleetModel(load modelLoad, local bool, seed uint64) *fleetModel {
	m := &fleetModel{load: load, local: local, random: rand.New(rand.NewPCG(seed, 2))}
	for i := range load.daemons {
		m.daemons = append(m.daemons, &modelDaemon{
			local: i % 3, tracker: NewTracker(), delays: mangodelay.New(), viewLag: 500*time.Millisecond + time.Duration(m.random.Float64()*float64(500*time.Millisecond)),
		})
	}
	return m
}

func (m *fleetModel) run() {
	for m.now = 0; m.now < m.load.length+modelTimeout; m.now += modelStep {
		if m.now%(250*time.Millisecond) == 0 {
			m.exchange()
		}
		if m.now < m.load.length {
			m.arrive()
		}
		m.comeBack()
		for i := range m.sites {
			m.advance(i)
		}
	}
}

// exchange makes the sums of the hubs, and gives each daemon the newest that has reached it.
func (m *fleetModel) exchange() {
	s := modelSnapshot{at: m.now}
	for _, d := range m.daemons {
		own := d.tracker.Own(at(m.now))
		s.own, s.ownUse = append(s.own, own), append(s.ownUse, d.own)
		s.total = s.total.With(own)
		for i := range d.own {
			s.used[i] += d.own[i]
		}
	}
	m.snapshots = append(m.snapshots, s)
	for i, d := range m.daemons {
		for _, s := range slices.Backward(m.snapshots) {
			if s.at > m.now-d.viewLag {
				continue
			}
			d.tracker.SetFleet(s.total, s.own[i], at(m.now))
			for k := range s.used {
				d.others[k] = max(s.used[k]-s.ownUse[i][k], 0)
			}
			break
		}
	}
}

func (m *fleetModel) poisson(perSecond float64) int {
	n := 0
	for at := m.random.ExpFloat64(); at < perSecond*modelStep.Seconds(); at += m.random.ExpFloat64() {
		n++
	}
	return n
}

func (m *fleetModel) arrive() {
	for rank, perSecond := range m.load.steady {
		for range m.poisson(perSecond) {
			m.newRequest(rank, 0, 1)
		}
	}
	for _, b := range m.load.bursts {
		if m.now >= b.from && m.now < b.to {
			for range m.poisson(b.perSecond) {
				m.newRequest(b.rank, b.customer, b.scale)
			}
		}
	}
}

func (m *fleetModel) newRequest(rank, customer int, scale float64) {
	r := &modelRequest{
		key: RefusalKey(len(m.all)), rank: rank, customer: customer, prompt: scale * 650 * math.Exp(0.65*m.random.NormFloat64()),
		answer: scale * 180 * math.Exp(0.4*m.random.NormFloat64()), first: m.now,
	}
	m.all = append(m.all, r)
	m.offer(r)
}

func (m *fleetModel) comeBack() {
	due := m.returns
	m.returns = nil
	for _, r := range due {
		if r.arrived > m.now {
			m.returns = append(m.returns, r)
			continue
		}
		m.offer(r)
	}
}

// offer brings a request to a daemon.
func (m *fleetModel) offer(r *modelRequest) {
	r.daemon, r.sends, r.arrived = m.daemons[m.random.IntN(len(m.daemons))], 0, m.now
	m.requests = append(m.requests, m.now)
	slot := int(m.now / (250 * time.Millisecond))
	for len(m.offered) <= slot {
		m.offered, m.admitted = append(m.offered, 0), append(m.admitted, 0)
	}
	m.offered[slot]++
	if retryAfter, refused := m.decide(r); refused {
		m.shed++
		if m.hasRoom() {
			m.shedWithRoom++
		}
		m.refuse(r, retryAfter)
		return
	}
	m.admitted[slot]++
	m.dispatch(r)
}

func (m *fleetModel) hasRoom() bool {
	used, waiting := 0.0, 0.0
	for _, s := range m.usable() {
		used += m.sites[s].used
		for _, r := range m.sites[s].queue {
			waiting += r.unread
		}
	}
	n := float64(len(m.usable()))
	return used < 0.5*n*m.load.capacity && waiting < 0.1*m.load.readRate*n*modelTarget.Seconds()
}

func (m *fleetModel) usable() []int {
	if m.now >= m.load.lostFrom && m.now < m.load.lostTo {
		return []int{1, 2}
	}
	return []int{0, 1, 2}
}

// decide judges a request by the shared view, or by the wait that the daemon itself has seen.
func (m *fleetModel) decide(r *modelRequest) (time.Duration, bool) {
	d := r.daemon
	left := r.first + modelTimeout - m.now
	if m.local {
		from, all := 1.0, 2.0
		if float64(left) < 0.95*float64(modelTimeout) {
			from, all = 2.0, 3.2
		}
		wait := float64(d.delays.Estimate(modelService, siteName(m.choose(r)), at(m.now))) / float64(modelTarget)
		return time.Second + time.Duration(m.random.Float64()*float64(2*time.Second)), wait > from+m.random.Float64()*(all-from)
	}
	class, work := rank(r.rank), r.work()
	class.Returning = d.tracker.IsReturning(r.key, at(m.now))
	d.tracker.Arrive(modelService, "d", class, work, at(m.now))
	var sites []Site
	for _, i := range m.usable() {
		used := min(d.own[i]+d.others[i], m.load.capacity)
		sites = append(sites, Site{DataCentre: siteName(i), Capacity: m.load.capacity, Used: used, Free: m.load.capacity - used})
	}
	decision := Decide(d.tracker.View(modelService, sites, nil, at(m.now)), Request{
		Class: class, Work: work, Target: modelTarget, TimeLeft: left, Random: m.random.Float64(),
	})
	if !decision.Admit {
		d.tracker.ExpectReturn(modelService, "d", class, work, decision.RetryAfter, at(m.now))
		d.tracker.RecordRefusal(r.key, at(m.now+decision.RetryAfter), at(m.now))
	}
	return decision.RetryAfter, !decision.Admit
}

func siteName(i int) string { return string(rune('a' + i)) }

// choose returns the cheapest site that does not count as full, or -1.
func (m *fleetModel) choose(r *modelRequest) int {
	best, least := -1, math.Inf(1)
	for _, i := range m.usable() {
		if r.daemon.fullUntil[i] > m.now {
			continue
		}
		free := 1 - min((r.daemon.own[i]+r.daemon.others[i]+r.memory())/m.load.capacity, 0.97)
		cost := (1 + 0.5*m.random.Float64()) / math.Pow(free, 4)
		cost += r.daemon.delays.Estimate(modelService, siteName(i), at(m.now)).Seconds() * 1000
		if i != r.daemon.local {
			cost += 30
		}
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}

// dispatch sends a request until a site takes it.
func (m *fleetModel) dispatch(r *modelRequest) {
	for {
		i := m.choose(r)
		if i < 0 {
			m.refuse(r, 2*time.Second)
			return
		}
		if r.sends > 0 && !m.takeRetry() {
			m.refuse(r, 500*time.Millisecond)
			return
		}
		r.sends++
		m.arrivals++
		s := &m.sites[i]
		if s.used+r.memory() > m.load.capacity {
			m.replicaRefusals++
			r.daemon.fullUntil[i] = m.now + 150*time.Millisecond + time.Duration(m.random.Float64()*float64(150*time.Millisecond))
			continue
		}
		m.begin(r, i)
		return
	}
}

// takeRetry takes a retry from the budget of the fleet, of which new requests leave 0.4 to started streams.
func (m *fleetModel) takeRetry() bool {
	recent := func(t time.Duration) bool { return t < m.now-10*time.Second }
	m.requests, m.retries = slices.DeleteFunc(m.requests, recent), slices.DeleteFunc(m.retries, recent)
	if float64(len(m.retries)) >= 0.6*(0.2*float64(len(m.requests))+modelSlack) {
		return false
	}
	m.retries = append(m.retries, m.now)
	return true
}

func (m *fleetModel) begin(r *modelRequest, site int) {
	s := &m.sites[site]
	r.site, r.unread = site, r.prompt
	s.used += r.memory()
	r.daemon.own[site] += r.memory()
	r.pending = r.daemon.delays.Begin(modelService, siteName(site), at(m.now))
	r.send = r.daemon.tracker.Begin(modelService, siteName(site), r.work(), at(m.now))
	// Replicas read the prompts of the more urgent first.
	index, _ := slices.BinarySearchFunc(s.queue, r, func(a, b *modelRequest) int {
		if a.rank <= b.rank {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, index, r)
}

// advance reads prompts and ends answers of a site.
func (m *fleetModel) advance(site int) {
	s := &m.sites[site]
	if !slices.Contains(m.usable(), site) {
		for _, r := range append(s.queue, s.running...) {
			m.leave(r)
			m.refuse(r, 500*time.Millisecond)
		}
		s.queue, s.running = nil, nil
		return
	}
	budget := m.load.readRate * modelStep.Seconds()
	for budget > 0 && len(s.queue) > 0 {
		r := s.queue[0]
		read := min(budget, r.unread)
		r.unread -= read
		budget -= read
		if r.unread > 0 {
			break
		}
		s.queue = s.queue[1:]
		r.firstEvent = m.now
		r.pending.FirstEvent(at(m.now))
		r.send.FirstEvent(at(m.now))
		r.endsAt = m.now + time.Duration(r.answer*float64(modelTokenTime))
		s.running = append(s.running, r)
	}
	s.queue = slices.DeleteFunc(s.queue, func(r *modelRequest) bool {
		gone := m.now-r.arrived > 2*time.Second
		if gone {
			m.leave(r)
		}
		return gone
	})
	s.running = slices.DeleteFunc(s.running, func(r *modelRequest) bool {
		ended := r.endsAt <= m.now
		if ended {
			r.done = true
			m.leave(r)
		}
		return ended
	})
}

func (m *fleetModel) leave(r *modelRequest) {
	m.sites[r.site].used -= r.memory()
	r.daemon.own[r.site] -= r.memory()
	r.pending.End()
	r.send.End(at(m.now))
}

// refuse sends a caller away; it comes back if it is told an early time.
func (m *fleetModel) refuse(r *modelRequest, retryAfter time.Duration) {
	r.refusals++
	left := r.first + modelTimeout - m.now
	if m.load.impatient {
		retryAfter = 100 * time.Millisecond
	}
	if retryAfter > left/3 || left < time.Second {
		return
	}
	r.arrived = m.now + retryAfter
	m.returns = append(m.returns, r)
}

// result counts the requests that came first in a time and of which match is true.
func (m *fleetModel) result(from, to time.Duration, match func(r *modelRequest) bool) modelResult {
	var out modelResult
	for _, r := range m.all {
		if r.first < from || r.first >= to || !match(r) {
			continue
		}
		out.all++
		if r.refusals > 0 {
			out.refused++
		}
		if r.refusals > 1 {
			out.refusedTwice++
		}
		if !r.done {
			continue
		}
		out.served++
		if r.firstEvent-r.arrived <= modelTarget {
			out.onTime++
		}
	}
	return out
}

func ofRank(rank int) func(r *modelRequest) bool {
	return func(r *modelRequest) bool { return r.rank == rank }
}

// ofSize matches the requests of a rank whose memory is between two quantiles of it.
func (m *fleetModel) ofSize(rank int, from, to float64) func(r *modelRequest) bool {
	var sizes []float64
	for _, r := range m.all {
		if r.rank == rank {
			sizes = append(sizes, r.memory())
		}
	}
	slices.Sort(sizes)
	least, most := sizes[int(from*float64(len(sizes)))], sizes[min(int(to*float64(len(sizes))), len(sizes)-1)]
	return func(r *modelRequest) bool { return r.rank == rank && r.memory() >= least && r.memory() <= most }
}

// switches returns the share of the slots of 250 ms, from 3 s after the beginning of a burst to its end, in which all requests
// were admitted after a slot in which hardly any was, or the reverse.
func (m *fleetModel) switches() float64 {
	from, to := int((modelBurstFrom+3*time.Second)/(250*time.Millisecond)), int(modelBurstTo/(250*time.Millisecond))
	n := 0
	for i := from; i < to; i++ {
		before, now := float64(m.admitted[i-1])/float64(max(m.offered[i-1], 1)), float64(m.admitted[i])/float64(max(m.offered[i], 1))
		if (before < 0.05 && now > 0.95) || (before > 0.95 && now < 0.05) {
			n++
		}
	}
	return float64(n) / float64(to-from)
}
