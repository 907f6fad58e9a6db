package mangorelay

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// Guards against streams that are cut because a data centre lost its power: the loss of all replicas of their chain, one
// after the other, must not count as a request that crashes one replica after the other.
func TestLossOfDataCentreHoldsNoRequest(t *testing.T) {
	tests := []struct {
		name    string
		centres []string
		held    bool
	}{
		{"one replica", []string{"a"}, false},
		{"a whole chain", []string{"a", "a", "a", "a"}, false},
		{"one replica in each of two", []string{"a", "b"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			crashes := mangocrash.New("one")
			r := New("a", nil, nil, nil, mangoreplica.NewHealthTracker(), mangobudget.New(mangobudget.Limit{}), crashes, WithLogger(logger))
			for i, c := range tt.centres {
				r.reportCrash(&mangoreplica.Replica{ID: string(rune('r' + i)), DataCentre: c, Service: "s"}, []mangocrash.InFlight{{Request: mangocrash.Request{Fingerprint: "stream"}}})
			}
			is.Equal(crashes.Held("stream", time.Now()), tt.held)
		})
	}
}

// refusingDialer fails as connections to ended processes do.
type refusingDialer struct{ Exchanger }

func (refusingDialer) Reach(context.Context, string, time.Duration) error {
	return syscall.ECONNREFUSED
}

// Guards against streams that are cut as crashing replicas although these ended as planned.
func TestPlannedEndHoldsNoRequest(t *testing.T) {
	tests := []struct {
		name     string
		draining bool
		cause    mangoreplica.Cause
		held     bool
	}{
		{"crashed", false, "", true},
		{"draining by their entries", true, "", false},
		{"said that they are leaving", false, mangoreplica.CauseLeaving, false},
		{"avoided as faulty, then crashed", false, mangoreplica.CauseFaulty, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var list []*mangoreplica.Replica
			for _, dataCentre := range []string{"a", "b"} {
				list = append(list, &mangoreplica.Replica{ID: dataCentre, DataCentre: dataCentre, Service: "s", Draining: tt.draining})
			}
			crashes := mangocrash.New("one")
			health := mangoreplica.NewHealthTracker()
			state := fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(list)}}
			r := New("a", state, nil, refusingDialer{}, health, mangobudget.New(mangobudget.Limit{}), crashes, WithLogger(quietLogger()))
			for _, replica := range list {
				if tt.cause != "" {
					health.Avoid(replica.Incarnation(), tt.cause, time.Minute, time.Now())
				}
				r.inFlight.add(&inFlightRequest{identity: mangocrash.Request{Fingerprint: "stream"}, wake: func() {}}, []mangoreplica.Incarnation{replica.Incarnation()})
				// The request may hold an older entry of the replica than the view does.
				earlier := *replica
				earlier.Draining = false
				r.checkConnection(&earlier, "q")
				(<-r.pendingChecks)(t.Context())
			}
			is.Equal(crashes.Held("stream", time.Now()), tt.held)
		})
	}
}

// unreachableDialer fails as connections to lost machines do.
type unreachableDialer struct{ Exchanger }

func (unreachableDialer) Reach(context.Context, string, time.Duration) error {
	return syscall.ETIMEDOUT
}

// observedState is a State that calls a function before each view.
type observedState struct {
	fixedState
	viewed func()
}

func (s observedState) View() *mangostate.View {
	s.viewed()
	return s.fixedState.View()
}

// crashNotifier is a PeerNotifier that calls a function for each report of a crash.
type crashNotifier struct {
	noPeerNotifier
	reported func()
}

func (n crashNotifier) ReportCrash() { n.reported() }

// Guards against streams that wait for the checks of other replicas although the loss of theirs is known, and against a crash
// that is not reported because they have left.
func TestLossWakesBeforeOtherChecks(t *testing.T) {
	is := is.New(t)
	replica := &mangoreplica.Replica{ID: "r", Service: "s", DataCentre: "a", Address: "127.0.0.1:1"}
	var events []string
	state := observedState{fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{replica})}}, func() { events = append(events, "other replicas") }}
	r := New("a", state, nil, unreachableDialer{}, mangoreplica.NewHealthTracker(), mangobudget.New(mangobudget.Limit{}), mangocrash.New("one"),
		WithLogger(quietLogger()), WithPeerNotifier(crashNotifier{reported: func() { events = append(events, "report") }}))
	f := &inFlightRequest{identity: mangocrash.Request{Fingerprint: "stream"}}
	var remove func()
	f.wake = func() {
		events = append(events, "wake")
		go remove()
	}
	remove = r.inFlight.add(f, []mangoreplica.Incarnation{replica.Incarnation()})
	r.connectOrAvoid(t.Context(), replica, "q", []mangocrash.InFlight{{Request: f.identity}}, whySilent)
	is.Equal(events, []string{"wake", "other replicas", "report"})
}
