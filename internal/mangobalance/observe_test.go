package mangobalance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Guards against a data centre that counts as full when the slots of one first stage are in use, while another one takes any number of
// requests; and against counting the slots of replicas that cannot be used.
func TestObserveSlots(t *testing.T) {
	health, now := mangoreplica.NewHealthTracker(), time.Now()
	health.SetFleetLoad(map[string]mangoreplica.Load{"i": {Requests: 10, Tokens: 100}}, nil, 2, now)
	for _, tt := range []struct {
		name     string
		slots    int
		draining bool
		want     float64
	}{
		{"another one with slots", 30, false, 0.25},
		{"another one without slots", 0, false, 0.05},
		{"another one that drains", 30, true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			replica := func(id string, slots int) *mangoreplica.Replica {
				return &mangoreplica.Replica{ID: id, DataCentre: "a", Accelerator: "x", Slots: slots, Layers: mangoreplica.LayerRange{To: 1}}
			}
			other := replica("j", tt.slots)
			other.Draining = tt.draining
			sites := Observe(mangopipeline.View{
				Replicas: []*mangoreplica.Replica{replica("i", 10), other}, Status: health, Now: now,
				Engine: &mangoroute.Engine{Layers: 1, LayerMB: 1, TokenBytes: 1e6, Accelerators: map[string]mangoroute.Accelerator{"x": {MemoryMB: 1001}}},
			}, nil)
			is.Equal(len(sites), 1)
			is.Equal(sites[0].Use(), tt.want)
		})
	}
}
