package mangorelay

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

func quietLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// newStreamCall returns a call of a resumable stream route, with a relay that knows no replica.
func newStreamCall(health *mangoreplica.HealthTracker) *call {
	r := New("a", nil, nil, nil, health, mangobudget.New(mangobudget.Limit{}), mangocrash.New("one"), WithLogger(quietLogger()))
	return &call{
		relay: r, request: &Request{ID: "q", ArrivedAt: time.Now()}, failedReplicas: map[string]bool{}, refusingReplicas: map[string]bool{}, retryPenalties: map[string]time.Duration{},
		route: &mangoroute.Route{Kind: mangoroute.Stream, Resumable: true, MaxAttempts: 2, GapTarget: 200 * time.Millisecond},
	}
}

// chainTarget returns a chain of replicas in data centre a.
func chainTarget(ids ...string) target {
	t := target{dataCentre: "a"}
	for _, id := range ids {
		t.stages = append(t.stages, mangopipeline.Stage{Replica: &mangoreplica.Replica{ID: id, Address: "127.0.0.1:1", DataCentre: "a"}})
		t.replicaIDs = append(t.replicaIDs, id)
	}
	t.first = t.stages[0].Replica
	return t
}

// Guards against late streams: they waited for the silence limit although the process of a stage was known to have ended.
// Also against streams that leave a chain on a weaker sign before there is any silence.
func TestEndedPartEndsWaitAtOnce(t *testing.T) {
	tests := []struct {
		name  string
		cause mangoreplica.Cause
		stage string
		woken bool
		gone  bool
	}{
		{"a later stage has ended", mangoreplica.CauseEnded, "s", true, true},
		{"a replica beside the chain has ended", mangoreplica.CauseEnded, "x", true, false},
		{"a later stage has ended, but the stream was not woken", mangoreplica.CauseEnded, "s", false, false},
		{"a stage cannot be reached", mangoreplica.CauseUnreachable, "s", true, false},
		{"a stage moved", mangoreplica.CauseMoved, "s", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			health := mangoreplica.NewHealthTracker()
			l := &silenceLimiter{call: newStreamCall(health), target: chainTarget("r", "s")}
			l.call.started = true
			health.Avoid(mangoreplica.Incarnation{ID: tt.stage}, tt.cause, time.Minute, time.Now())
			l.replicaLost.Store(tt.woken)
			is.Equal(l.remainingWait(0) <= 0, tt.gone)
		})
	}
}

// Guards against streams that wait for a stage that gave up their layers without serving them first, and against streams
// that leave a stage that still serves them.
func TestMovedPartEndsWaitOnceSilent(t *testing.T) {
	held := mangoreplica.LayerRange{To: 8}
	tests := []struct {
		name   string
		layers mangoreplica.LayerRange
		moving bool
		silent time.Duration
		gone   bool
	}{
		{"it gave up the layers and is silent", mangoreplica.LayerRange{From: 4, To: 8}, true, gapSoft, true},
		{"it gave up the layers and still serves", mangoreplica.LayerRange{From: 4, To: 8}, true, gapSoft / 2, false},
		{"it took further layers", mangoreplica.LayerRange{To: 9}, true, gapSoft, false},
		{"its entry is behind", mangoreplica.LayerRange{From: 4, To: 8}, false, gapSoft, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newStreamCall(mangoreplica.NewHealthTracker())
			c.started = true
			c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{
				{ID: "r", Address: "127.0.0.1:1", Layers: held}, {ID: "s", Address: "127.0.0.1:2", Layers: tt.layers, ReleasingLayers: tt.moving},
			})}}
			l := &silenceLimiter{call: c, target: chainTarget("r", "s")}
			for i := range l.target.stages {
				l.target.stages[i].Layers = held
			}
			is.Equal(l.remainingWait(tt.silent) <= 0, tt.gone)
		})
	}
}

// Guards against requests that are not woken when a replica they pass through is lost, and against requests that are
// woken after they have left it.
func TestLostReplicaWakesItsRequests(t *testing.T) {
	is := is.New(t)
	index := newInFlightIndex()
	woken := map[string]int{}
	add := func(name string, replicas ...string) func() {
		var incarnations []mangoreplica.Incarnation
		for _, r := range replicas {
			incarnations = append(incarnations, mangoreplica.Incarnation{ID: r})
		}
		return index.add(&inFlightRequest{identity: mangocrash.Request{Fingerprint: name}, wake: func() { woken[name]++ }}, incarnations)
	}
	add("one", "r", "s")
	remove := add("two", "s")
	add("three", "r")
	index.wakeAll(mangoreplica.Incarnation{ID: "s"})
	is.Equal(woken, map[string]int{"one": 1, "two": 1})
	remove()
	index.wakeAll(mangoreplica.Incarnation{ID: "s"})
	is.Equal(woken, map[string]int{"one": 2, "two": 1})
	is.Equal(index.candidates(mangoreplica.Incarnation{ID: "r"}, time.Now()), []mangocrash.InFlight{{Request: mangocrash.Request{Fingerprint: "one"}}, {Request: mangocrash.Request{Fingerprint: "three"}}})
}

// leastTolerance is the time without events after which callers of a route with short targets have left.
const leastTolerance = silenceToleranceMin + silenceToleranceSlack

// Guards against slow but sound streams that are cut after the 2.4 s that suit a route with short targets, although their
// callers wait longer and nobody else can go on with them.
func TestLastAttemptWaitsAsLongAsCaller(t *testing.T) {
	tests := []struct {
		name        string
		target, gap time.Duration
		hard        time.Duration
	}{
		{"short targets", 100 * time.Millisecond, 200 * time.Millisecond, 2500 * time.Millisecond},
		{"long target for the first event", 2 * time.Second, 200 * time.Millisecond, 8500 * time.Millisecond},
		{"long target for gaps", 500 * time.Millisecond, time.Second, 8500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newStreamCall(mangoreplica.NewHealthTracker())
			route := *c.route
			route.LatencyTarget, route.GapTarget, route.Resumable = tt.target, tt.gap, false
			c.route, c.started = &route, true
			_, hard := (&silenceLimiter{call: c, target: chainTarget("r", "s")}).silenceLimits()
			is.Equal(hard, tt.hard)
		})
	}
}

// Guards against a stream on its first attempt that gets the limits of a last attempt: the head of its answer had counted
// the attempt already, so that a lost stage was looked for after 250 ms instead of 100 ms and a silent chain was given up
// after 2.4 s instead of 0.6 s.
func TestFirstAttemptKeepsItsLimits(t *testing.T) {
	tests := []struct {
		name       string
		runs       int
		answered   bool
		started    bool
		soft, hard time.Duration
	}{
		{"first attempt without an answer", 0, false, false, firstEventSoft, firstEventHard},
		{"first attempt with the head of an answer", 1, true, false, firstEventSoft, firstEventHard},
		{"first attempt with events", 1, true, true, gapSoft, gapHard},
		{"first attempt on slow replicas", 1, true, true, 3 * 180 * time.Millisecond, 8 * 180 * time.Millisecond},
		{"last attempt without an answer", 1, false, true, firstEventSoft, leastTolerance},
		{"last attempt with events", 2, true, true, firstEventSoft, leastTolerance},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newStreamCall(mangoreplica.NewHealthTracker())
			c.mayHaveRunOn, c.started = map[string]bool{}, tt.started
			for i := range tt.runs {
				c.mayHaveRunOn[fmt.Sprint(i)] = true
			}
			if tt.answered {
				delete(c.mayHaveRunOn, "0")
				c.mayHaveRunOn["r"] = true
			}
			if strings.Contains(tt.name, "slow") {
				c.meanGap = 180 * time.Millisecond
			}
			soft, hard := (&silenceLimiter{call: c, target: chainTarget("r", "s")}).silenceLimits()
			is.Equal(soft, tt.soft)
			is.Equal(hard, tt.hard)
		})
	}
}

// Guards against requests that give up in a queue after 0.9 s and wait again from its end, or run out of retries, when a
// data centre that is cut off from the others has more load than it can take.
func TestQueuedRequestIsNotGivenUp(t *testing.T) {
	tests := []struct {
		name    string
		waiting time.Duration
		hard    time.Duration
	}{
		{"no queue", 0, firstEventHard},
		{"a short queue", 200 * time.Millisecond, firstEventHard},
		{"a long queue", 700 * time.Millisecond, 2100 * time.Millisecond},
		{"a queue longer than callers wait", 5 * time.Second, leastTolerance},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newStreamCall(mangoreplica.NewHealthTracker())
				began := time.Now().Add(-tt.waiting)
				if tt.waiting > 0 {
					for range 4 {
						c.relay.delays.Begin(c.serviceName, "a", began)
					}
				}
				_, hard := (&silenceLimiter{call: c, target: chainTarget("r", "s")}).silenceLimits()
				is.New(t).Equal(hard, tt.hard)
			})
		})
	}
}

// Guards against a repair on indirect evidence before the stream itself is silent, against one for a replica that only
// misbehaves, and against a loss that is proven but waits for silence.
func TestRepairBegins(t *testing.T) {
	tests := []struct {
		cause  mangoreplica.Cause
		silent time.Duration
		begins bool
	}{
		{mangoreplica.CauseEnded, 0, true},
		{mangoreplica.CauseUnreachable, 0, true},
		{mangoreplica.CauseReset, 0, true},
		{mangoreplica.CauseStalled, gapSoft - 1, false},
		{mangoreplica.CauseStalled, gapSoft, true},
		{mangoreplica.CauseFaulty, gapSoft, false},
		{mangoreplica.CauseStopping, gapSoft, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.cause, tt.silent), func(t *testing.T) {
			is := is.New(t)
			health := mangoreplica.NewHealthTracker()
			c := newStreamCall(health)
			c.started, c.service = true, &mangoroute.Service{Engine: &mangoroute.Engine{}}
			c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{{ID: "r", Address: "127.0.0.1:1"}, {ID: "s", Address: "127.0.0.1:2"}})}}
			begun := 0
			l := &silenceLimiter{call: c, target: chainTarget("r", "s"), repair: &pathRepair{launch: func(func(context.Context) repairResult) { begun++ }}}
			health.Avoid(mangoreplica.Incarnation{ID: "s"}, tt.cause, time.Minute, time.Now())
			l.replicaLost.Store(true)
			is.True(l.remainingWait(tt.silent) > 0)
			is.True(l.remainingWait(tt.silent) > 0) // one repair at a time
			is.Equal(begun == 1, tt.begins)
			is.True(begun <= 1)
		})
	}
}
