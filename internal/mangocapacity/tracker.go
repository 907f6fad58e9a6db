package mangocapacity

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Tracker measures the demand and the progress that this daemon sees, and holds what the other daemons report. It is safe
// for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	demand   map[DemandKey]*demandMeter
	progress map[SiteKey]*progressMeter
	returns  []expectedReturn
	refusals refusals
	// others is what the other daemons reported, as of othersAt.
	others   Report
	othersAt time.Time
}

// NewTracker returns a tracker without requests or reports.
func NewTracker() *Tracker {
	return &Tracker{demand: map[DemandKey]*demandMeter{}, progress: map[SiteKey]*progressMeter{}}
}

// Arrive counts an arriving request, before it is admitted or refused. dataCentre is that of this daemon.
func (t *Tracker) Arrive(service, dataCentre string, class Class, work Work, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := DemandKey{Service: service, DataCentre: dataCentre, Class: class}
	m := t.demand[key]
	if m == nil {
		m = &demandMeter{}
		t.demand[key] = m
	}
	m.add(work.demand(), now)
}

// Send is a request that was sent to replicas.
type Send struct {
	tracker *Tracker
	key     SiteKey
	work    Work
	began   time.Time
	// read says that the request got its first event, and ended that it does not run any more.
	read, ended bool
}

// Begin records that a request is sent to the replicas of a data centre.
func (t *Tracker) Begin(service, dataCentre string, work Work, now time.Time) *Send {
	s := &Send{tracker: t, key: SiteKey{Service: service, DataCentre: dataCentre}, work: work, began: now}
	t.update(s.key, func(m *progressMeter) { m.begin(work.PromptTokens, now) })
	return s
}

// FirstEvent records the first event of the request; later calls do nothing, nor does one of a nil Send.
func (s *Send) FirstEvent(now time.Time) {
	if s == nil || s.read || s.ended {
		return
	}
	s.read = true
	s.tracker.update(s.key, func(m *progressMeter) {
		m.leave(s.work.PromptTokens, now.Sub(s.began), now)
		m.add(Progress{ReadTokens: s.work.PromptTokens}, now)
	})
}

// End records that the request does not run any more; later calls do nothing. Without a preceding FirstEvent its time does
// not count.
func (s *Send) End(now time.Time) {
	if s.ended {
		return
	}
	s.ended = true
	s.tracker.update(s.key, func(m *progressMeter) {
		if !s.read {
			m.leave(s.work.PromptTokens, now.Sub(s.began), now)
			return
		}
		m.add(Progress{EndedSteps: s.work.AnswerTokens, EndedSeconds: now.Sub(s.began).Seconds()}, now)
	})
}

func (t *Tracker) update(key SiteKey, change func(m *progressMeter)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.progress[key]
	if m == nil {
		m = &progressMeter{}
		t.progress[key] = m
	}
	change(m)
}

// Own returns what this daemon observes, with its refusals of the last second. Rates without recent events are left out.
func (t *Tracker) Own(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.own(now)
	r.Refusals = t.refusals.recent(now)
	return r
}

// own returns the demand and progress that this daemon observes. The caller holds t.mu.
func (t *Tracker) own(now time.Time) Report {
	r := Report{Demand: map[DemandKey]Demand{}, Progress: map[SiteKey]Progress{}}
	for k, m := range t.demand {
		d := m.rate(now)
		if d.Requests < minRate {
			delete(t.demand, k)
			continue
		}
		r.Demand[k] = d
	}
	t.addExpectedReturns(r.Demand, now)
	for k, m := range t.progress {
		p := m.progress(now)
		if p.Pending <= 0 && p.ReadTokens+p.EndedSteps < minRate {
			delete(t.progress, k)
			continue
		}
		r.Progress[k] = p
	}
	return r
}

// SetFleet records the sum of the reports of all daemons, as received at a time. reported is this daemon's part of that sum, which
// is subtracted.
func (t *Tracker) SetFleet(total, reported Report, at time.Time) {
	others := total.without(reported)
	// A view needs no refusals, and merging them for each request would be expensive.
	others.Refusals = nil
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others, t.othersAt = others, at
	t.refusals.expire(at)
	for key, due := range total.Refusals {
		t.refusals.record(key, due, at)
	}
}

// Links tells which data centres are cut off from this daemon. With nil Links, none is.
type Links interface {
	CutOff(dataCentre string) bool
}

// View returns the view of a service: its sites, with the progress and the demand of all daemons. It is made of this daemon's
// current numbers and the last ones received from the others. The demand of a data centre that is cut off does not count: its requests
// cannot be sent here, although its last report is still part of the sum.
func (t *Tracker) View(service string, sites []Site, links Links, now time.Time) View {
	t.mu.Lock()
	all, age := t.all(now)
	t.mu.Unlock()
	return newView(service, sites, links, all, age)
}

// ViewAfter returns the view that there would be if a request arrived now, without counting it.
func (t *Tracker) ViewAfter(service, dataCentre string, class Class, work Work, sites []Site, links Links, now time.Time) View {
	t.mu.Lock()
	key := DemandKey{Service: service, DataCentre: dataCentre, Class: class}
	before := t.demand[key]
	m := demandMeter{}
	if before != nil {
		m = *before
	}
	m.add(work.demand(), now)
	// The changed meter is put back before the mutex is released, so nobody else sees it.
	t.demand[key] = &m
	all, age := t.all(now)
	if before == nil {
		delete(t.demand, key)
	} else {
		t.demand[key] = before
	}
	t.mu.Unlock()
	return newView(service, sites, links, all, age)
}

// all returns this daemon's current numbers together with the last ones received from the others, and the age of the latter. The
// caller holds t.mu.
func (t *Tracker) all(now time.Time) (all Report, age time.Duration) {
	all = t.others.With(t.own(now))
	if t.othersAt.IsZero() {
		return all, MaxAge + 1
	}
	return all, now.Sub(t.othersAt)
}

// newView returns the view of a service by the numbers of all daemons, whose part from the others has an age.
func newView(service string, sites []Site, links Links, all Report, age time.Duration) View {
	v := View{Age: age}
	var sum Progress
	for _, s := range sites {
		p := all.Progress[SiteKey{Service: service, DataCentre: s.DataCentre}]
		s.Read, s.Wait = p.ReadTokens, p.wait()
		v.Sites, sum = append(v.Sites, s), sum.With(p)
	}
	v.StepTime, v.DemandAt = sum.stepTime(), map[string]float64{}
	byClass := map[Class]Demand{}
	for k, d := range all.Demand {
		if k.Service == service && (links == nil || !links.CutOff(k.DataCentre)) {
			byClass[k.Class] = byClass[k.Class].With(d)
			v.DemandAt[k.DataCentre] += v.memory(d)
		}
	}
	for _, c := range slices.SortedFunc(maps.Keys(byClass), Class.compare) {
		v.Demand = append(v.Demand, ClassDemand{Class: c, Demand: byClass[c]})
	}
	return v
}
