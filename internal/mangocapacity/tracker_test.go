package mangocapacity

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// cutOff is the name of a data centre that is cut off.
type cutOff string

// CutOff implements Links.
func (c cutOff) CutOff(dataCentre string) bool { return dataCentre == string(c) }

// Guards against rates that do not follow the demand, that stay after it has ended, or that count this daemon twice.
func TestTrackerMeasuresDemand(t *testing.T) {
	is := is.New(t)
	tracker, key := NewTracker(), DemandKey{Service: "s", DataCentre: "d", Class: rank(1)}
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		tracker.Arrive("s", "d", key.Class, Work{Tokens: 20, PromptTokens: 10, AnswerTokens: 3}, at(now))
	}
	own := tracker.Own(at(10 * time.Second))
	is.True(math.Abs(own.Demand[key].Requests-10) < 1)
	is.True(math.Abs(own.Demand[key].TokenSteps-600) < 60)
	others := Report{Demand: map[DemandKey]Demand{key: {Requests: 90, Tokens: 1800}}}
	is.True(tracker.View("s", nil, nil, at(10*time.Second)).Age > MaxAge) // Nothing has been told yet.
	tracker.SetFleet(others.With(own), own, at(10*time.Second))
	view := tracker.View("s", []Site{{DataCentre: "a"}}, nil, at(10*time.Second))
	is.Equal(len(view.Demand), 1)
	is.True(math.Abs(view.Demand[0].Requests-100) < 1)
	is.Equal(len(tracker.View("other", nil, nil, at(10*time.Second)).Demand), 0)
	cut := tracker.View("s", nil, cutOff("d"), at(10*time.Second))
	is.True(len(cut.Demand) == 0 && len(cut.DemandAt) == 0) // It is still reported, but cannot come here.
	is.Equal(len(tracker.Own(at(30*time.Second)).Demand), 0)
}

// Guards against callers that are told when to come back and are all admitted on top of what fits, since nobody expects them.
func TestTrackerExpectsReturns(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for range 5 {
		tracker.ExpectReturn("s", "d", rank(1), Work{Tokens: 100}, 2*time.Second, at(0))
	}
	key := DemandKey{Service: "s", DataCentre: "d", Class: returningOf(rank(1))}
	is.Equal(tracker.Own(at(0)).Demand[key].Tokens, 0.0)
	is.Equal(tracker.Own(at(time.Second)).Demand[key].Tokens, 500.0)
	is.Equal(tracker.Own(at(2 * time.Second)).Demand[key].Tokens, 0.0)
}

// Guards against waits that count requests twice, that a few hanging requests or the first ones after a pause make long, and
// against a queue that is not seen.
func TestTrackerMeasuresProgress(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	wait := func(now time.Duration) time.Duration {
		return tracker.View("s", []Site{{DataCentre: "a"}}, nil, at(now)).Sites[0].Wait
	}
	var sends []*Send
	for i := range 6 {
		sends = append(sends, tracker.Begin("s", "a", Work{Tokens: 20, PromptTokens: 10, AnswerTokens: 5}, at(time.Duration(i)*100*time.Millisecond)))
	}
	is.True(wait(time.Second) > time.Second && wait(time.Second) < 2*time.Second)
	for _, s := range sends {
		s.FirstEvent(at(time.Second))
		s.FirstEvent(at(time.Second))
	}
	is.Equal(wait(time.Second), time.Duration(0))
	for _, s := range sends {
		s.End(at(2 * time.Second))
		s.End(at(2 * time.Second))
	}
	p := tracker.Own(at(2 * time.Second)).Progress[SiteKey{"s", "a"}]
	is.True(math.Abs(p.EndedSteps-30) < 0.01)
	is.True(p.stepTime() > 340*time.Millisecond && p.stepTime() < 360*time.Millisecond) // 1.75 s for 5 tokens.
	tracker.Begin("s", "a", Work{PromptTokens: 10}, at(2*time.Second))
	is.Equal(wait(9*time.Second), time.Duration(0)) // A single request does not show a queue.
	var none *Send
	none.FirstEvent(at(0))
}

// status is what is known of replicas in TestSites.
type status struct {
	mangopipeline.ReplicaStatus
	loads   map[string]float64
	avoided string
}

func (s status) Avoided(r mangoreplica.Incarnation, _ time.Time) bool { return r.ID == s.avoided }

func (s status) FleetLoad(id string, _ time.Time) mangoreplica.Load {
	return mangoreplica.Load{Tokens: s.loads[id]}
}

// Guards against room of replicas that cannot be used, and against room at one layer that another layer does not have.
func TestSites(t *testing.T) {
	engine := &mangoroute.Engine{Layers: 4, LayerMB: 1, TokenBytes: 4e6, Accelerators: map[string]mangoroute.Accelerator{"x": {MemoryMB: 202}}}
	replica := func(id string, from, to int) *mangoreplica.Replica {
		return &mangoreplica.Replica{ID: id, DataCentre: "a", Accelerator: "x", Layers: mangoreplica.LayerRange{From: from, To: to}}
	}
	draining := replica("d", 0, 2)
	draining.Draining = true
	tests := []struct {
		name     string
		replicas []*mangoreplica.Replica
		status   status
		want     []Site
	}{
		{"two halves", []*mangoreplica.Replica{replica("a", 0, 2), replica("b", 2, 4)}, status{loads: map[string]float64{"a": 30, "b": 40}}, []Site{{DataCentre: "a", Capacity: 100, Used: 40, Free: 60}}},
		{"one layer held twice", []*mangoreplica.Replica{replica("a", 0, 2), replica("b", 2, 4), replica("c", 2, 4)}, status{loads: map[string]float64{"a": 30, "b": 90}}, []Site{{DataCentre: "a", Capacity: 100, Used: 30, Free: 70}}},
		{"more in use than fits", []*mangoreplica.Replica{replica("a", 0, 2), replica("b", 2, 4)}, status{loads: map[string]float64{"a": 3000}}, []Site{{DataCentre: "a", Capacity: 100, Used: 100}}},
		{"a part is avoided", []*mangoreplica.Replica{replica("a", 0, 2), replica("b", 2, 4)}, status{avoided: "b"}, nil},
		{"a part is draining", []*mangoreplica.Replica{draining, replica("b", 2, 4)}, status{}, nil},
		{"no replicas", nil, status{}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(Sites(mangopipeline.View{Replicas: tt.replicas, Engine: engine, Status: tt.status}), tt.want)
		})
	}
}
