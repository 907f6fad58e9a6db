package mangobalance

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangodelay"
	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Constants of the model, from docs/design/requirements-2.md and the deployments of docs/design/README.md.
const (
	modelBeat     = 250 * time.Millisecond
	modelViews    = 4
	modelTarget   = 500 * time.Millisecond
	modelAbandons = 2 * time.Second
	modelPeriod   = 15 * time.Second
	modelSwing    = 0.55
	modelWarmUp   = 5 * time.Second
	modelRetry    = 150 * time.Millisecond
	modelDaemons  = 60
	modelPrompt   = 800
	modelAnswer   = 195
	modelDuration = 2500 * time.Millisecond
)

// fleet is a model of three data centres. Each daemon knows its own load now and that of the others as of some time ago.
type fleet struct {
	engine    *mangoroute.Engine
	replicas  []*mangoreplica.Replica
	index     map[string]int
	names     []string
	rule      rule
	perSecond float64
	// arriving draws the requests, so that all rules are given the same, and random all else.
	arriving, random *rand.Rand
	length           time.Duration
	now              time.Duration
	events           eventQueue
	order            int
	// live has the streams that are on replicas.
	live map[*stream]bool

	held, capacity []float64
	running        []int
	waiting        [][]*stream
	daemons        []*daemon
	// totals has the sums of the loads of all daemons as of the last beats, the latest first.
	totals [][]mangoreplica.Load
	result result
}

// rule sets the preferred data centre of a request of a daemon.
type rule func(f *fleet, daemon int, v mangopipeline.View, r *mangopipeline.Request)

// daemon has the load that it puts on replicas now and as of the last beats.
type daemon struct {
	own    []mangoreplica.Load
	past   [][]mangoreplica.Load
	age    int
	delays *mangodelay.Estimator
	epoch  int
	home   string
}

// result counts what became of the requests that arrived after the warm-up.
type result struct {
	streams, onTime                           map[string]int
	late, refused, sends, rejected, preempted int
	// remote streams ran in another data centre, needless ones while the local one had room.
	remote, needless int
	remoteBySecond   map[int]int
	// peak is the largest share in use of the slots of a first replica.
	peak float64
}

func (r result) rate(n int) float64 { return float64(n) / float64(max(r.sends, 1)) }

// served returns the share of streams on time, and that of the data centre that is served worst.
func (r result) served() (mean, worst float64) {
	all, onTime, worst := 0, 0, 1.0
	for name, n := range r.streams {
		all, onTime, worst = all+n, onTime+r.onTime[name], min(worst, float64(r.onTime[name])/float64(n))
	}
	return float64(onTime) / float64(all), worst
}

// String implements fmt.Stringer. changes is the mean change of the remote streams from one second to the next.
func (r result) String() string {
	mean, worst := r.served()
	changes, last := 0.0, slices.Max(slices.Collect(maps.Keys(r.remoteBySecond)))
	for s := int(modelWarmUp/time.Second) + 1; s <= last; s++ {
		changes += math.Abs(float64(r.remoteBySecond[s]-r.remoteBySecond[s-1])) / float64(last)
	}
	return fmt.Sprintf("on time %.3f, worst %.3f, late %d, refused %d, sends %d, rejected %.4f, preempted %d, remote %.3f, needless %.3f, changes %.1f, peak %.2f",
		mean, worst, r.late, r.refused, r.sends, r.rate(r.rejected), r.preempted, r.rate(r.remote), r.rate(r.needless), changes, r.peak)
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{f.now + d, f.order, run})
}

// status is the ReplicaStatus of one daemon.
type status struct {
	fleet  *fleet
	daemon *daemon
}

func (status) Avoided(mangoreplica.Incarnation, time.Time) bool        { return false }
func (status) CertainToFail(mangoreplica.Incarnation, time.Time) bool  { return false }
func (status) FailureRate(mangoreplica.Incarnation, time.Time) float64 { return 0 }
func (status) Slowness(mangoreplica.Incarnation, time.Time) float64    { return 1 }

// FleetLoad implements ReplicaStatus.
func (s status) FleetLoad(id string, _ time.Time) mangoreplica.Load {
	i, d := s.fleet.index[id], s.daemon
	l := d.own[i]
	if d.age < len(d.past) && d.age < len(s.fleet.totals) {
		total, reported := s.fleet.totals[d.age][i], d.past[d.age][i]
		l = l.With(mangoreplica.Load{
			Requests: max(total.Requests-reported.Requests, 0), Later: max(total.Later-reported.Later, 0), Tokens: max(total.Tokens-reported.Tokens, 0),
		})
	}
	return l
}

// newFleet returns a fleet with replicas of each kind in each data centre, laid out as placement does for empty replicas.
func newFleet(engine *mangoroute.Engine, counts []map[string]int, perSecond float64, slots int, seed uint64) *fleet {
	f := &fleet{
		engine: engine, perSecond: perSecond, random: rand.New(rand.NewPCG(seed, 2)), arriving: rand.New(rand.NewPCG(seed, 3)), index: map[string]int{}, live: map[*stream]bool{},
		result: result{streams: map[string]int{}, onTime: map[string]int{}, remoteBySecond: map[int]int{}},
	}
	var states []mangolayout.ReplicaState
	for at, kinds := range counts {
		name := string(rune('a' + at))
		f.names = append(f.names, name)
		for _, kind := range []string{"large", "middle", "small"} {
			for i := range kinds[kind] {
				id := fmt.Sprint(name, kind, i)
				r := &mangoreplica.Replica{ID: id, Address: id, DataCentre: name, Accelerator: kind, Slots: slots}
				f.index[id] = len(f.replicas)
				f.replicas = append(f.replicas, r)
				states = append(states, mangolayout.ReplicaState{Replica: r, Movable: true})
			}
		}
	}
	for _, move := range mangolayout.Plan(engine, states) {
		move.Replica.Layers = move.Layers
	}
	for _, r := range f.replicas {
		f.capacity = append(f.capacity, engine.TokenCapacity(r.Accelerator, r.Layers.Len()))
	}
	f.held, f.running, f.waiting = make([]float64, len(f.replicas)), make([]int, len(f.replicas)), make([][]*stream, len(f.replicas))
	for i := range modelDaemons {
		f.daemons = append(f.daemons, &daemon{home: f.names[i%len(f.names)], age: f.random.IntN(modelViews), delays: mangodelay.New(), own: make([]mangoreplica.Load, len(f.replicas))})
	}
	return f
}

// exchange stores the present loads as those of a beat.
func (f *fleet) exchange() {
	total := make([]mangoreplica.Load, len(f.replicas))
	for _, d := range f.daemons {
		d.past = append([][]mangoreplica.Load{append([]mangoreplica.Load(nil), d.own...)}, d.past[:min(len(d.past), modelViews-1)]...)
		for i, l := range d.own {
			total[i] = total[i].With(l)
		}
	}
	f.totals = append([][]mangoreplica.Load{total}, f.totals[:min(len(f.totals), modelViews-1)]...)
	if f.now < f.length {
		f.after(modelBeat, f.exchange)
	}
}

// rate returns the requests per second that arrive at the daemons of a data centre.
func (f *fleet) rate(at int, now time.Duration) float64 {
	phase := now.Seconds()/modelPeriod.Seconds() + float64(at)/float64(len(f.names))
	return f.perSecond * (1 + modelSwing*math.Sin(2*math.Pi*phase))
}

// demand returns the memory that the demand of each data centre would take, as daemons know it.
func (f *fleet) demand(daemon int) map[string]float64 {
	demand := map[string]float64{}
	for at, name := range f.names {
		old := f.now - time.Duration(f.daemons[daemon].age+1)*modelBeat
		demand[name] = f.rate(at, old) * (modelPrompt + modelAnswer/2) * modelDuration.Seconds()
	}
	return demand
}

// arrivals lets requests arrive at the daemons of a data centre, and schedules the next one.
func (f *fleet) arrivals(at int) {
	if f.now >= f.length {
		return
	}
	f.after(time.Duration(f.arriving.ExpFloat64()/f.rate(at, f.now)*float64(time.Second)), func() {
		daemon := at + len(f.names)*f.arriving.IntN(modelDaemons/len(f.names))
		f.begin(&stream{daemon: daemon, home: f.names[at], prompt: 200 + f.arriving.ExpFloat64()*(modelPrompt-200), answer: 50 + f.arriving.ExpFloat64()*(modelAnswer-50)})
		f.arrivals(at)
	})
}

// play runs the model with a rule for a time, and until all streams have ended. If restart is set, all daemons restart in the middle of it.
func (f *fleet) play(r rule, length time.Duration, restart bool) {
	f.rule, f.length = r, length
	f.after(0, f.exchange)
	for at := range f.names {
		f.arrivals(at)
	}
	if restart {
		f.after(length/2, f.restart)
	}
	for len(f.events) > 0 {
		e, ok := heap.Pop(&f.events).(event)
		if !ok {
			return
		}
		f.now = e.at
		e.run()
	}
}

// restart makes all daemons forget what they know. Their callers come back within a second, while the replicas still run the old
// streams for half a second.
func (f *fleet) restart() {
	for _, d := range f.daemons {
		d.epoch++
		d.own, d.past, d.delays = make([]mangoreplica.Load, len(f.replicas)), nil, mangodelay.New()
	}
	f.totals = nil
	live := slices.SortedFunc(maps.Keys(f.live), func(a, b *stream) int { return cmp.Compare(a.arrived, b.arrived) })
	for _, s := range live {
		if s.counted {
			s.counted = false
			f.result.streams[s.home]--
		}
		f.after(time.Duration(f.random.Float64()*float64(time.Second)), func() {
			f.begin(&stream{daemon: s.daemon, home: s.home, prompt: s.prompt, answer: s.answer})
		})
		f.after(500*time.Millisecond, func() { f.cancel(s) })
	}
}
