package mangocheck

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutModel is a daemon with streams through another data centre, in steps of a millisecond, without a network.
type cutModel struct {
	table *Reachability
	// delay is the one-way delay between the data centres.
	delay time.Duration
	// cutAt and backAt bound the time in which messages are dropped: those to the data centre if out is set, and those from there if
	// in is set.
	cutAt, backAt time.Duration
	out, in       bool
	// stopAt is when all replicas of the streams fall silent for another reason, for 400 ms; 0 if they do not.
	stopAt time.Duration
	// hubs is the number of hubs of the data centre that have seats, hubsAnswer says that they run, and hubTime is how long they take
	// to answer.
	hubs       int
	hubsAnswer bool
	hubTime    time.Duration
	// requests says that a new stream begins in the data centre each 300 ms unless it counts as cut off.
	requests bool
	// replicasAnswer says that replicas accept connections, and busy that checks of this daemon that time out are Unknown.
	replicasAnswer, busy bool
	// isNew says that this daemon has made no connection to the data centre yet.
	isNew    bool
	replicas int

	start       time.Time
	events      map[time.Duration][]func()
	connections int
	verdicts    []time.Duration
	ends        []time.Duration
	left        []time.Duration
}

const (
	modelStreams, modelSoft, modelGap, modelPoll = 6, 90 * time.Millisecond, 30 * time.Millisecond, 25 * time.Millisecond
	modelBatch                                   = 5 * time.Millisecond
	ms                                           = time.Millisecond
)

func (m *cutModel) at(d time.Duration, f func()) { m.events[d] = append(m.events[d], f) }

func (m *cutModel) drops(direction bool, at time.Duration) bool {
	return direction && m.cutAt > 0 && at >= m.cutAt && at < m.backAt
}

// exchange runs f when the answer to a message that is sent now arrives; a message whose way is cut is lost.
func (m *cutModel) exchange(now, took time.Duration, f func(now time.Duration)) {
	answered := now + m.delay + took
	if m.drops(m.out, now) || m.drops(m.in, answered) {
		return
	}
	m.at(answered+m.delay, func() { f(answered + m.delay) })
}

func (m *cutModel) alive(now time.Duration, cut *CutOff) {
	if cut != nil {
		m.ends = append(m.ends, now)
	}
}

func (m *cutModel) ask(now time.Duration) {
	if m.hubs == 0 || !m.hubsAnswer {
		return
	}
	m.exchange(now+modelBatch, m.hubTime, func(at time.Duration) { m.alive(at, m.table.Alive("b", m.start.Add(at))) })
}

// probe makes the two attempts of a check to each replica.
func (m *cutModel) probe(now time.Duration) {
	results, open, timeout := make([]Result, min(m.replicas, probedReplicas)), true, m.table.ProbeTimeout("b")
	for i := range results {
		results[i] = Unreachable
		if m.busy {
			results[i] = Unknown
		}
		for _, wait := range []time.Duration{0, timeout / 2} {
			attempt := func() {
				if !open {
					return
				}
				m.connections++
				if !m.replicasAnswer {
					return
				}
				m.exchange(now+wait, 0, func(at time.Duration) {
					if open && at < now+timeout {
						open = false
						m.alive(at, m.table.Alive("b", m.start.Add(at)))
						m.table.Probed("b", []Result{Reachable}, m.start.Add(at))
					}
				})
			}
			if wait == 0 {
				attempt()
			} else {
				m.at(now+wait, attempt)
			}
		}
	}
	m.at(now+timeout, func() {
		if open && m.table.Probed("b", results, m.start.Add(now+timeout)) != nil {
			m.verdicts = append(m.verdicts, now+timeout)
		}
		open = false
	})
}

// begin sends a new request, whose stream is silent for 250 ms if the data centre is cut off.
func (m *cutModel) begin(now time.Duration) {
	isHeard := false
	m.exchange(now, 60*ms, func(at time.Duration) {
		isHeard = true
		m.alive(at, m.table.EventPassed("b", m.start.Add(at)))
	})
	m.at(now+250*ms, func() {
		if isHeard {
			return
		}
		if m.table.Asked("b", m.hubs, m.start.Add(now+250*ms)) != nil {
			m.verdicts = append(m.verdicts, now+250*ms)
		}
		m.ask(now + 250*ms)
	})
}

// run plays the daemon until the given time.
func (m *cutModel) run(until time.Duration) {
	m.start, m.events = time.Now(), map[time.Duration][]func(){}
	last, gone := make([]time.Duration, modelStreams), make([]bool, modelStreams)
	for i := range last {
		for at := time.Duration(i) * 5 * time.Millisecond; at < until; at += modelGap {
			if m.drops(m.in, at) || m.stopAt > 0 && at >= m.stopAt && at < m.stopAt+400*time.Millisecond {
				continue
			}
			m.at(at+m.delay, func() {
				if !gone[i] {
					last[i] = at + m.delay
					m.alive(last[i], m.table.EventPassed("b", m.start.Add(last[i])))
				}
			})
		}
	}
	if !m.isNew {
		m.table.Connected("b", 2*m.delay) // the streams began with a connection
	}
	nextAsk := time.Duration(0)
	for now := time.Duration(0); now < until; now += time.Millisecond {
		for len(m.events[now]) > 0 {
			f := m.events[now][0]
			m.events[now] = m.events[now][1:]
			f()
		}
		clock := m.start.Add(now)
		for i := range last {
			silent := now - last[i]
			if gone[i] || silent < modelSoft {
				continue
			}
			if m.table.IsCutOff("b", clock) {
				gone[i], m.left = true, append(m.left, silent)
				continue
			}
			if (silent-modelSoft)%modelPoll == 0 && now >= nextAsk {
				nextAsk = now + shareInterval
				m.table.Asked("b", m.hubs, clock)
				m.ask(now)
			}
		}
		if m.requests && now > m.cutAt+time.Second && now%(300*ms) == 0 && !m.table.IsCutOff("b", clock) {
			m.begin(now)
		}
		for range m.table.Renewals(clock) {
			m.table.Renewed("b", m.hubs, clock)
			m.ask(now)
		}
		for range m.table.Expired(clock) {
			m.ends = append(m.ends, now)
		}
		for range m.table.Probes(clock) {
			m.probe(now)
		}
	}
	slices.Sort(m.left)
}

// Guards against streams that stay in a data centre that is cut off until they are late, against a cut that lasts after the link is back,
// against more connections than four for a cut, and against a sound data centre that is left because its hubs are lost or slow, its
// messages are late, its replicas pause or this daemon is short of processor time.
func TestCutOffModel(t *testing.T) {
	sound := cutModel{delay: 4 * ms, hubs: 2, hubsAnswer: true, replicasAnswer: true, replicas: 9, out: true, in: true}
	with := func(change func(m *cutModel)) cutModel {
		m := sound
		change(&m)
		return m
	}
	cut := func(m *cutModel) { m.cutAt, m.backAt = time.Second, 3*time.Second }
	tests := []struct {
		name  string
		model cutModel
		cut   bool
		// connections bounds those of the whole run.
		connections int
	}{
		{"sound", sound, false, 0},
		{"cut in both directions", with(cut), true, 4},
		{"cut on the way there", with(func(m *cutModel) { cut(m); m.in = false; m.stopAt = time.Second }), true, 4},
		{"cut on the way back", with(func(m *cutModel) { cut(m); m.out = false }), true, 4},
		{"cut with a delay of 12 ms", with(func(m *cutModel) { cut(m); m.delay = 12 * ms }), true, 4},
		{"cut of a data centre without hubs", with(func(m *cutModel) { cut(m); m.hubs = 0 }), true, 4},
		{"cut without hubs, new requests", with(func(m *cutModel) { cut(m); m.hubs, m.requests = 0, true }), true, 4},
		{"cut for 200 ms", with(func(m *cutModel) { cut(m); m.backAt = 1200 * ms }), true, 4},
		{"cut for 100 ms", with(func(m *cutModel) { cut(m); m.backAt = 1100 * ms }), false, 4},
		{"replicas pause, hubs answer", with(func(m *cutModel) { m.stopAt = time.Second }), false, 0},
		{"replicas pause, all hubs lost", with(func(m *cutModel) { m.stopAt, m.hubsAnswer = time.Second, false }), false, 2},
		{"replicas pause, hubs take 300 ms", with(func(m *cutModel) { m.stopAt, m.hubTime = time.Second, 300*ms }), false, 2},
		{"replicas pause, no hubs", with(func(m *cutModel) { m.stopAt, m.hubs = time.Second, 0 }), false, 2},
		{"replicas pause, messages 40 ms late", with(func(m *cutModel) { m.stopAt, m.delay = time.Second, 40*ms }), false, 4},
		{"replicas pause, messages 64 ms late", with(func(m *cutModel) { m.stopAt, m.delay = time.Second, 64*ms }), false, 4},
		{"replicas pause, messages 40 ms late, all hubs lost", with(func(m *cutModel) { m.stopAt, m.delay, m.hubsAnswer = time.Second, 40*ms, false }), false, 4},
		{"replicas pause, messages 25 ms late, no hubs", with(func(m *cutModel) { m.stopAt, m.delay, m.hubs = time.Second, 25*ms, 0 }), false, 4},
		{"new daemon, replicas pause, messages 40 ms late, no hubs", with(func(m *cutModel) { m.stopAt, m.delay, m.hubs, m.isNew = time.Second, 40*ms, 0, true }), false, 4},
		{"cut, this daemon short of processor time", with(func(m *cutModel) { cut(m); m.busy = true }), false, 12},
		{"the only replica and no hub", with(func(m *cutModel) { cut(m); m.hubs, m.replicas = 0, 1 }), false, 6},
		{"the only replica and two hubs", with(func(m *cutModel) { cut(m); m.replicas = 1 }), true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := tt.model
			m.table = NewReachability("a")
			m.run(5 * time.Second)
			t.Logf("verdicts %v, ends %v, streams left after %v, connections %d", m.verdicts, m.ends, m.left, m.connections)
			if (len(m.verdicts) > 0) != tt.cut || len(m.verdicts) > 1 && !m.requests {
				t.Errorf("verdicts %v", m.verdicts)
			}
			if m.connections > tt.connections {
				t.Errorf("%d connections", m.connections)
			}
			for _, silent := range m.left {
				if silent > 200*ms {
					t.Errorf("a stream left after %v", silent)
				}
			}
			if tt.cut && len(m.left) != modelStreams && m.backAt > m.cutAt+200*ms {
				t.Errorf("%d streams left", len(m.left))
			}
			if tt.cut && (len(m.ends) != len(m.verdicts) || m.ends[len(m.ends)-1] > m.backAt+renewInterval+100*ms && m.hubs > 0) {
				t.Errorf("ends %v", m.ends)
			}
		})
	}
}

// Guards against a local data centre that counts as cut off, and against a daemon that leaves its own data centre since it is itself cut
// off from the others.
func TestLocalDataCentreIsNeverCutOff(t *testing.T) {
	is := is.New(t)
	table, now := NewReachability("a"), time.Now()
	for _, name := range []string{"a", "b", "c"} {
		table.Asked(name, 2, now)
	}
	probes := table.Probes(now.Add(answerWait))
	slices.Sort(probes)
	is.Equal(probes, []string{"b", "c"})
	for _, name := range probes {
		is.True(table.Probed(name, []Result{Unreachable, Unreachable}, now.Add(answerWait+checkTimeout)) != nil)
	}
	later := now.Add(answerWait + checkTimeout)
	is.True(!table.IsCutOff("a", later))
	is.True(table.IsCutOff("b", later) && table.IsCutOff("c", later))
	is.True(table.Alive("b", later) != nil)
	is.True(!table.IsCutOff("b", later) && table.IsCutOff("c", later))
}
