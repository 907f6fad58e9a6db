package mangorelay

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// Guards against a stream that resumes at the replica that may still carry out an order for it although it can resume at
// another one that it ran at, and against one that is cut because there is no other.
func TestRestartAfterUnansweredOrder(t *testing.T) {
	tests := []struct {
		name, unanswered string
		replicas         []string
		want             string
	}{
		{"another one", "a", []string{"a", "b"}, "b"},
		{"the other way round", "b", []string{"a", "b"}, "a"},
		{"no other one", "a", []string{"a"}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			health := mangoreplica.NewHealthTracker()
			c := newStreamCall(health)
			c.started, c.mayHaveRunOn, c.unansweredFirst = true, map[string]bool{"a": true, "b": true}, tt.unanswered
			c.service = &mangoroute.Service{Name: "s", Engine: &mangoroute.Engine{Layers: 4, StepMS: 1}}
			c.drawLimits()
			var replicas []*mangoreplica.Replica
			for _, id := range tt.replicas {
				replicas = append(replicas, &mangoreplica.Replica{ID: id, Address: id, DataCentre: "a", Layers: mangoreplica.LayerRange{To: 4}})
			}
			chosen, ok := c.chooseChain(mangopipeline.View{Replicas: replicas, Engine: c.service.Engine, Status: health, LocalDataCentre: "a", Now: time.Now()})
			is.True(ok)
			is.Equal(chosen.first.ID, tt.want)
		})
	}
}

// loseFirstReplica makes the replica that the request was sent to lost, with a number of tokens of other daemons.
func (c *call) loseFirstReplica(tokens float64) {
	now := time.Now()
	c.sentTo = &mangoreplica.Replica{ID: "a"}
	c.relay.health.Avoid(c.sentTo.Incarnation(), mangoreplica.CauseUnreachable, time.Minute, now)
	c.relay.health.SetFleetLoad(map[string]mangoreplica.Load{"a": {Requests: 10, Tokens: tokens}}, nil, 60, now)
	c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(nil)}}
}

// Guards against restarts that are sent to a chain without capacity while their callers still wait, and against some that are
// never sent or that wait for requests of daemons that have ended.
func TestRestartWaitsForCapacity(t *testing.T) {
	tests := []struct {
		name     string
		ran      bool
		pressure float64
		silent   time.Duration
		goes     bool
	}{
		{"capacity", true, 0.9, 0, true},
		{"no capacity", true, 1.1, 0, false},
		{"no capacity until its caller is about to leave", true, 1.1, leastTolerance / 2, true},
		{"not a restart", false, 1.1, 0, true},
		{"no capacity once others have restarted", true, 0.6, 0, false},
		{"capacity beside the others", true, 0.4, 0, true},
		{"capacity, since unknown requests are not restarted", true, 0.6, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newStreamCall(mangoreplica.NewHealthTracker())
				route := *c.route
				route.Pipelined = true
				c.route, c.started, c.lastEventAt = &route, true, time.Now().Add(-tt.silent)
				// A replica with all layers holds 20,000 tokens.
				c.service = &mangoroute.Service{Name: "s", Engine: &mangoroute.Engine{
					Layers: 4, TokenBytes: 1e6, Accelerators: map[string]mangoroute.Accelerator{"k": {MemoryMB: 20_000}},
				}}
				c.mayHaveRunOn = map[string]bool{}
				if tt.ran {
					c.mayHaveRunOn["a"] = true
				}
				if strings.Contains(tt.name, "others") {
					c.loseFirstReplica(10_000)
				}
				if strings.Contains(tt.name, "unknown") {
					c.loseFirstReplica(1000)
					c.relay.health.RecordLoad("a", mangoreplica.ReportedLoad{Running: 110, Slots: 192}, time.Now())
				}
				chain := chainTarget("b")
				chain.pressure = tt.pressure
				chain.stages[0].Replica.Accelerator, chain.stages[0].Replica.Layers = "k", mangoreplica.LayerRange{To: 4}
				is.Equal(c.takeTurn(t.Context(), chain), tt.goes)
				c.endTurn()
				is.True(c.turn == nil)
			})
		})
	}
}
