package mangorelay

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangosuspect"
)

func quietLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// newCall returns a call of a route whose streams may be resumed, with a relay that knows no replica.
func newCall(board *mangoreplica.HealthTracker) *call {
	r := New("a", nil, nil, nil, board, mangobudget.New(mangobudget.Limit{}), mangosuspect.New("one"), WithLogger(quietLogger()))
	return &call{
		relay: r, request: &Request{ID: "q", ArrivedAt: time.Now()}, exclude: map[string]bool{}, full: map[string]bool{}, penalty: map[string]time.Duration{},
		route: &mangoroute.Route{Kind: mangoroute.Stream, Resumable: true, MaxAttempts: 2, GapTarget: 200 * time.Millisecond},
	}
}

func chain(ids ...string) target {
	t := target{dataCentre: "a"}
	for _, id := range ids {
		t.parts = append(t.parts, mangopipeline.Stage{Replica: &mangoreplica.Replica{ID: id, Address: "127.0.0.1:1", DataCentre: "a"}})
		t.ids = append(t.ids, id)
	}
	t.first = t.parts[0].Replica
	return t
}

// Guards against streams that wait for silence although the process of a part is known to have ended, which makes them
// late, and against ones that leave a chain on a weaker sign before there is any silence.
func TestWaitAfterLoss(t *testing.T) {
	tests := []struct {
		name  string
		cause mangoreplica.Cause
		part  string
		woken bool
		gone  bool
	}{
		{"a later part has ended", mangoreplica.CauseEnded, "s", true, true},
		{"a replica beside the chain has ended", mangoreplica.CauseEnded, "x", true, false},
		{"nobody has said so", mangoreplica.CauseEnded, "s", false, false},
		{"a part cannot be reached", mangoreplica.CauseUnreachable, "s", true, false},
		{"a part moved", mangoreplica.CauseMoved, "s", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			board := mangoreplica.NewHealthTracker()
			w := &watch{call: newCall(board), target: chain("r", "s")}
			w.call.started = true
			board.Avoid(mangoreplica.Incarnation{ID: tt.part}, tt.cause, time.Minute, time.Now())
			w.woken.Store(tt.woken)
			is.Equal(w.wait(0) <= 0, tt.gone)
		})
	}
}

// Guards against streams that wait at a part that was ordered to give up their layers without waiting for them, and against
// ones that leave a part that still serves them.
func TestWaitAtMovedPart(t *testing.T) {
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
			c := newCall(mangoreplica.NewHealthTracker())
			c.started = true
			c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{
				{ID: "r", Address: "127.0.0.1:1", Layers: held}, {ID: "s", Address: "127.0.0.1:2", Layers: tt.layers, ReleasingLayers: tt.moving},
			})}}
			w := &watch{call: c, target: chain("r", "s")}
			for i := range w.target.parts {
				w.target.parts[i].Layers = held
			}
			is.Equal(w.wait(tt.silent) <= 0, tt.gone)
		})
	}
}

// Guards against requests that are not woken when a replica they pass through is lost, and against ones that are woken
// after they have left it.
func TestManifestWakes(t *testing.T) {
	is := is.New(t)
	m := newManifest()
	woken := map[string]int{}
	board := func(name string, replicas ...string) func() {
		var incarnations []mangoreplica.Incarnation
		for _, r := range replicas {
			incarnations = append(incarnations, mangoreplica.Incarnation{ID: r})
		}
		return m.board(&sent{fingerprint: name, wake: func() { woken[name]++ }}, incarnations)
	}
	board("one", "r", "s")
	leave := board("two", "s")
	board("three", "r")
	m.wake(mangoreplica.Incarnation{ID: "s"})
	is.Equal(woken, map[string]int{"one": 1, "two": 1})
	leave()
	m.wake(mangoreplica.Incarnation{ID: "s"})
	is.Equal(woken, map[string]int{"one": 2, "two": 1})
	is.Equal(m.fingerprints(mangoreplica.Incarnation{ID: "r"}), []string{"one", "three"})
}

// Guards against a stream on its first attempt that is treated like one on its last: the head of its answer had counted the
// attempt already, so that a lost part was looked for after 250 ms instead of 100 ms and a silent chain was left after
// 2.4 s instead of 0.6 s.
func TestLimitsOfAttempts(t *testing.T) {
	tests := []struct {
		name       string
		runs       int
		answered   bool
		started    bool
		soft, hard time.Duration
	}{
		{"first attempt without an answer", 0, false, false, firstSoft, firstHard},
		{"first attempt with the head of an answer", 1, true, false, firstSoft, firstHard},
		{"first attempt with events", 1, true, true, gapSoft, gapHard},
		{"first attempt on slow replicas", 1, true, true, 3 * 180 * time.Millisecond, 8 * 180 * time.Millisecond},
		{"last attempt without an answer", 1, false, true, firstSoft, lastHard},
		{"last attempt with events", 2, true, true, firstSoft, lastHard},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCall(mangoreplica.NewHealthTracker())
			c.ranOn, c.started = map[string]bool{}, tt.started
			for i := range tt.runs {
				c.ranOn[fmt.Sprint(i)] = true
			}
			if tt.answered {
				delete(c.ranOn, "0")
				c.ranOn["r"] = true
			}
			if strings.Contains(tt.name, "slow") {
				c.usualGap = 180 * time.Millisecond
			}
			soft, hard := (&watch{call: c, target: chain("r", "s")}).limits()
			is.Equal(soft, tt.soft)
			is.Equal(hard, tt.hard)
		})
	}
}

// Guards against requests that leave a queue after 0.9 s and wait again from its end, or are lost for want of retries, when
// a data centre that is cut off from the others has more load than it can take.
func TestQueueIsNotLeft(t *testing.T) {
	tests := []struct {
		name    string
		waiting time.Duration
		hard    time.Duration
	}{
		{"no queue", 0, firstHard},
		{"a short queue", 200 * time.Millisecond, firstHard},
		{"a long queue", 700 * time.Millisecond, 2100 * time.Millisecond},
		{"a queue beyond callers' patience", 5 * time.Second, lastHard},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCall(mangoreplica.NewHealthTracker())
			began := time.Now().Add(-tt.waiting)
			if tt.waiting > 0 {
				for range 4 {
					c.relay.delays.Begin(c.serviceName, "a", began)
				}
			}
			_, hard := (&watch{call: c, target: chain("r", "s")}).limits()
			if hard < tt.hard || hard > tt.hard+100*time.Millisecond {
				t.Errorf("%v instead of %v", hard, tt.hard)
			}
		})
	}
}
