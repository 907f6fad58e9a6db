package mangocapacity

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Guards against room in a data centre whose first stages have no free slots, against slots of later stages that limit it, against
// known requests that use a part of a later stage and seem to fill it, against
// requests that only a first stage has reported and that leave the memory of the other stages free, and against one replica that reports
// too many requests and closes its data centre.
func TestSitesCountSlots(t *testing.T) {
	engine := &mangoroute.Engine{Layers: 4, LayerMB: 1, TokenBytes: 4e6, Accelerators: map[string]mangoroute.Accelerator{"x": {MemoryMB: 402}}}
	replica := func(id string, from, to, slots int) *mangoreplica.Replica {
		return &mangoreplica.Replica{ID: id, DataCentre: "a", Accelerator: "x", Layers: mangoreplica.LayerRange{From: from, To: to}, Slots: slots}
	}
	// Each holds two layers and has memory for 200 tokens.
	whole := func(slots ...int) []*mangoreplica.Replica {
		list := []*mangoreplica.Replica{replica("last", 2, 4, 1), replica("last too", 2, 4, 1), replica("last as well", 2, 4, 1)}
		for i, n := range slots {
			list = append(list, replica(string(rune('a'+i)), 0, 2, n))
		}
		return list
	}
	tests := []struct {
		name     string
		replicas []*mangoreplica.Replica
		loads    map[string]mangoreplica.Load
		want     Site
	}{
		{"memory is shorter", whole(100), map[string]mangoreplica.Load{"a": {Requests: 10, Tokens: 100}}, Site{Capacity: 200, Used: 100, Free: 100}},
		{"slots are shorter", whole(12), map[string]mangoreplica.Load{"a": {Requests: 10, Tokens: 100}}, Site{Capacity: 120, Used: 100, Free: 20}},
		{"no free slot", whole(8), map[string]mangoreplica.Load{"a": {Requests: 10, Tokens: 100}}, Site{Capacity: 80, Used: 80, Free: 0}},
		{"free slots of another one", whole(8, 8), map[string]mangoreplica.Load{"a": {Requests: 10, Tokens: 100}}, Site{Capacity: 160, Used: 80, Free: 80}},
		{"one without slots", whole(8, 0), map[string]mangoreplica.Load{"a": {Requests: 10, Tokens: 100}}, Site{Capacity: 400, Used: 100, Free: 300}},
		{"a later stage there", whole(12), map[string]mangoreplica.Load{"a": {Requests: 10, Tokens: 100, Later: 10}}, Site{Capacity: 200, Used: 100, Free: 100}},
		{
			"known requests through half of the layers of a later stage",
			[]*mangoreplica.Replica{replica("a", 0, 2, 40), replica("b", 0, 4, 40)},
			map[string]mangoreplica.Load{"a": {Requests: 10, Tokens: 100}, "b": {Requests: 10, Tokens: 50, Later: 10}},
			Site{Capacity: 99.5, Used: 50, Free: 49.5},
		},
		{
			"the same with one more that is unknown",
			[]*mangoreplica.Replica{replica("a", 0, 2, 40), replica("b", 0, 4, 40)},
			map[string]mangoreplica.Load{"a": {Requests: 11, Tokens: 110, Unknown: 1, UnknownTokens: 10}, "b": {Requests: 10, Tokens: 50, Later: 10}},
			Site{Capacity: 99.5, Used: 55, Free: 44.5},
		},
		{
			"slots are shorter where a first stage is also a later one",
			[]*mangoreplica.Replica{replica("a", 0, 2, 12), replica("b", 0, 4, 12), replica("last", 2, 4, 1), replica("last too", 2, 4, 1)},
			map[string]mangoreplica.Load{"a": {Requests: 10, Tokens: 100}, "b": {Requests: 14, Tokens: 90, Later: 10}},
			Site{Capacity: 240, Used: 140, Free: 100},
		},
		{"no requests", whole(1), nil, Site{Capacity: 200, Free: 200}},
		{
			"others know of fewer requests", whole(100, 100, 100, 100),
			map[string]mangoreplica.Load{"a": {Requests: 19, Tokens: 190, Unknown: 18, UnknownTokens: 180}, "last": {Requests: 1, Tokens: 10, Later: 1}},
			Site{Capacity: 600, Used: 190, Free: 410},
		},
		{
			"one reports more requests than its memory holds", whole(100, 100, 100),
			map[string]mangoreplica.Load{"a": {Requests: 1000, Tokens: 10_000, Unknown: 1000, UnknownTokens: 10_000}, "b": {Requests: 5, Tokens: 50}},
			Site{Capacity: 600, Used: 250, Free: 350},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.want.DataCentre = "a"
			is.New(t).Equal(Sites(mangopipeline.View{Replicas: tt.replicas, Engine: engine, Status: loadStatus(tt.loads), Now: time.Unix(0, 0)}), []Site{tt.want})
		})
	}
}

// loadStatus is a mangopipeline.ReplicaStatus that knows loads by the id of the replica.
type loadStatus map[string]mangoreplica.Load

func (loadStatus) Avoided(mangoreplica.Incarnation, time.Time) bool       { return false }
func (loadStatus) CertainToFail(mangoreplica.Incarnation, time.Time) bool { return false }
func (loadStatus) FailureRate(mangoreplica.Incarnation, time.Time) float64 {
	return 0
}
func (loadStatus) Slowness(mangoreplica.Incarnation, time.Time) float64 { return 1 }

func (s loadStatus) FleetLoad(id string, _ time.Time) mangoreplica.Load { return s[id] }
