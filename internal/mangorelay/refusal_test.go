package mangorelay

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

type fixedState struct{ view *mangostate.View }

func (s fixedState) View() *mangostate.View { return s.view }

// Guards against blame on the new owner of an address for a refusal that names the address of a part of the chain: the
// part was chosen again and again, until the retries of all daemons were spent.
func TestRefusalNamesPartOfChain(t *testing.T) {
	tests := []struct {
		name  string
		fault string
		want  string
	}{
		{"the first part", "127.0.0.1:1", "r"},
		{"a later part", "127.0.0.1:2", "s"},
		{"a replica beside the chain", "127.0.0.1:3", "x"},
		{"nobody known", "127.0.0.1:9", "r"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			board := mangoreplica.NewHealthTracker()
			c := newCall(board)
			c.full, c.service = map[string]bool{}, &mangoroute.Service{}
			target := chain("r", "s")
			target.parts[1].Replica.Address = "127.0.0.1:2"
			c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{
				{ID: "new", Address: "127.0.0.1:2", Born: 5}, {ID: "x", Address: "127.0.0.1:3"},
			})}}
			is.Equal(c.refusedBy(target, AnswerHead{Status: http.StatusMisdirectedRequest, FaultAddress: tt.fault}, time.Millisecond), refused)
			is.Equal(c.fault, tt.want)
			is.True(c.full[tt.want])
			is.True(board.Avoided(mangoreplica.Incarnation{ID: tt.want}, time.Now()))
		})
	}
}

// Guards against new requests that are sent to a full replica one after the other, each of which costs a retry that a begun
// stream needs, and against begun streams that wait although room may have come free.
func TestFullReplicasAreLeftToBegunStreams(t *testing.T) {
	tests := []struct {
		name     string
		pressure float64
		started  bool
		left     bool
	}{
		{"a new request after a refusal for want of room", fullPressure, false, true},
		{"a begun stream", fullPressure, true, false},
		{"a refusal for another reason", fullPressure / 2, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			board := mangoreplica.NewHealthTracker()
			refusing, next := newCall(board), newCall(board)
			refusing.service = &mangoroute.Service{}
			refusing.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(nil)}}
			target := chain("r", "s")
			target.pressure = tt.pressure
			refusing.refusedBy(target, AnswerHead{Status: http.StatusServiceUnavailable, FaultAddress: "127.0.0.1:1"}, time.Millisecond)
			next.started = tt.started
			is.Equal(next.unusable("r"), tt.left)
			is.True(!next.unusable("s"))
		})
	}
}
