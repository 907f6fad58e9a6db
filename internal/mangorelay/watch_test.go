package mangorelay

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangosuspect"
)

func quietLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// newCall returns a call of a route whose streams may be resumed, with a relay that knows no replica.
func newCall(board *mangoreplica.Board) *call {
	r := New("a", nil, nil, nil, board, mangobudget.New(mangobudget.Limit{}), mangosuspect.New("one"), WithLogger(quietLogger()))
	return &call{
		relay: r, request: &Request{ID: "q", Arrived: time.Now()}, exclude: map[string]bool{}, full: map[string]bool{}, penalty: map[string]time.Duration{},
		route: &mangoroute.Route{Kind: mangoroute.Stream, Resumable: true, MaxAttempts: 2, GapTarget: 200 * time.Millisecond},
	}
}

func chain(ids ...string) target {
	t := target{dataCentre: "a"}
	for _, id := range ids {
		t.parts = append(t.parts, mangopipeline.Part{Replica: &mangoreplica.Replica{ID: id, Address: "127.0.0.1:1", DataCentre: "a"}})
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
		{"a part is full", mangoreplica.CauseFull, "s", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			board := mangoreplica.NewBoard()
			w := &watch{call: newCall(board), target: chain("r", "s")}
			w.call.started = true
			board.Avoid(mangoreplica.Incarnation{ID: tt.part}, tt.cause, time.Minute, time.Now())
			w.woken.Store(tt.woken)
			is.Equal(w.wait(0) <= 0, tt.gone)
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
