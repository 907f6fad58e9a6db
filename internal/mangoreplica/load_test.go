package mangoreplica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that count for the slots of their later stages, while they run, after they ended, and when the load of the
// other daemons is not known.
func TestLaterStagesTakeNoSlot(t *testing.T) {
	is := is.New(t)
	h, now := NewHealthTracker(), time.Unix(1000, 0)
	end := h.BeginShares(100, "a", map[string]float64{"a": 1, "b": 0.5})
	h.BeginRequest(10, "b")
	h.SetFleetLoad(map[string]Load{"a": {Requests: 6, Later: 4}, "b": {Requests: 4, Later: 4}}, map[string]Load{"a": {Requests: 1}}, 3, now)
	is.Equal(h.FleetLoad("a", now), Load{Requests: 6, Later: 4, Tokens: 100})
	is.Equal(h.FleetLoad("b", now), Load{Requests: 6, Later: 5, Tokens: 60})
	is.Equal(h.FleetLoad("a", now).First(), 2)
	is.Equal(h.FleetLoad("b", now.Add(time.Minute)), Load{Requests: 6, Later: 3, Tokens: 180})
	end()
	is.Equal(h.OwnLoads(), map[string]Load{"b": {Requests: 1, Tokens: 10}})
}
