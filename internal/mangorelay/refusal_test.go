package mangorelay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

type fixedState struct{ view *mangostate.View }

func (s fixedState) View() *mangostate.View { return s.view }

// Guards against a refusal that is attributed to the new owner of an address although it names a stage of the chain by that
// address: that stage was chosen again and again, until the retry budget of all daemons was spent.
func TestRefusalIsAttributedToPartOfChain(t *testing.T) {
	tests := []struct {
		name  string
		fault string
		want  string
	}{
		{"the first stage", "127.0.0.1:1", "r"},
		{"a later stage", "127.0.0.1:2", "s"},
		{"a replica beside the chain", "127.0.0.1:3", "x"},
		{"nobody known", "127.0.0.1:9", "r"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				health := mangoreplica.NewHealthTracker()
				c := newStreamCall(health)
				c.refusingReplicas, c.service = map[string]bool{}, &mangoroute.Service{}
				target := chainTarget("r", "s")
				target.stages[1].Replica.Address = "127.0.0.1:2"
				c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{
					{ID: "new", Address: "127.0.0.1:2", Born: 5}, {ID: "x", Address: "127.0.0.1:3"},
				})}}
				is.Equal(c.handleRefusal(target, AnswerHead{Status: http.StatusMisdirectedRequest, FaultAddress: tt.fault}, time.Millisecond), resultRefused)
				is.Equal(c.refusedByReplica, tt.want)
				is.True(c.refusingReplicas[tt.want])
				is.True(health.Avoided(mangoreplica.Incarnation{ID: tt.want}, time.Now()))
			})
		})
	}
}

// Guards against new requests that are sent to full replicas one after the other, each at the cost of a retry that a
// started stream needs, and against started streams that pass over a full replica although capacity may have become free.
func TestFullReplicasAreLeftToStartedStreams(t *testing.T) {
	tests := []struct {
		name     string
		pressure float64
		started  bool
		left     bool
	}{
		{"a new request after a refusal for lack of capacity", fullPressure, false, true},
		{"a started stream", fullPressure, true, false},
		{"a refusal for another reason", fullPressure / 2, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				health := mangoreplica.NewHealthTracker()
				refusing, next := newStreamCall(health), newStreamCall(health)
				refusing.service = &mangoroute.Service{}
				refusing.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(nil)}}
				target := chainTarget("r", "s")
				target.pressure = tt.pressure
				refusing.handleRefusal(target, AnswerHead{Status: http.StatusServiceUnavailable, FaultAddress: "127.0.0.1:1"}, time.Millisecond)
				next.started = tt.started
				is.Equal(next.isUnusable("r"), tt.left)
				is.True(!next.isUnusable("s"))
			})
		})
	}
}
