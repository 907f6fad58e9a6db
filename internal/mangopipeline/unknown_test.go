package mangopipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// Guards against chains through later stages whose memory is taken by requests that only a first stage has reported, against such
// requests that count twice, against a pressure of requests that are known, and against one replica that reports too many requests and fills
// the later stages.
func TestChooseCountsUnknownRequests(t *testing.T) {
	now := time.Unix(100, 0)
	// Each replica has memory for 220,339 tokens.
	replicas := []*mangoreplica.Replica{
		withSlots(replica("first", "x", "a", 0, 4), 500), replica("second", "x", "a", 4, 8), replica("third", "x", "a", 4, 8),
		withSlots(replica("far", "y", "a", 0, 8), 500),
	}
	tests := []struct {
		name     string
		reported int
		// known is the number of known requests through first and second.
		known int
		want  []float64
		chain []string
	}{
		{"all are known", 40, 40, nil, []string{"first", "third"}},
		{"none is known", 80, 0, []float64{0, 0, 0, 0, 0.1815, 0.1815, 0.1815, 0.1815}, []string{"first", "third"}},
		{"half of them are known", 80, 40, []float64{0, 0, 0, 0, 0.0908, 0.0908, 0.0908, 0.0908}, []string{"first", "third"}},
		{"more than the memory of the first stage", 1_000_000, 0, []float64{0, 0, 0, 0, 0.5, 0.5, 0.5, 0.5}, []string{"far"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			health := mangoreplica.NewHealthTracker()
			health.BeginRequest(1000, "other")()
			for range tt.known {
				health.BeginRequest(1000, "first", "second")
			}
			health.RecordLoad("first", mangoreplica.ReportedLoad{Running: tt.reported, Slots: 500}, now)
			view := View{Replicas: replicas, Engine: engine(8), Status: health, LocalDataCentre: "x", Now: now}
			got := UnknownPressure(view)
			is.Equal(len(got["y"]), 0)
			is.Equal(len(got["x"]), len(tt.want))
			chain, err := Choose(view, Request{Tokens: 1, Random: noJitter})
			is.NoErr(err)
			is.Equal(chain.IDs(), tt.chain)
			is.True(tt.want == nil || estimateCost(view, Request{}, replicas[2], got["x"]).pressure > tt.want[4]-0.001)
			for i, p := range tt.want {
				if d := got["x"][i] - p; d < -0.001 || d > 0.001 {
					t.Errorf("layer %d has %.3f, not %.3f", i, got["x"][i], p)
				}
			}
		})
	}
}

// Guards against a later stage that seems full as soon as one request is unknown, since known requests use a part of its layers.
func TestUnknownPressureOfPartOfStage(t *testing.T) {
	now := time.Unix(100, 0)
	health := mangoreplica.NewHealthTracker()
	for range 100 {
		health.BeginShares(1000, "first", map[string]float64{"first": 1, "large": 0.5})
	}
	health.RecordLoad("first", mangoreplica.ReportedLoad{Running: 101, Slots: 500}, now)
	view := View{
		Replicas: []*mangoreplica.Replica{replica("first", "x", "a", 0, 4), replica("large", "x", "a", 0, 8)}, Engine: engine(8), Status: health, Now: now,
	}
	capacity := view.Engine.TokenCapacity("a", 8)
	for i, p := range UnknownPressure(view)["x"] {
		if want := map[bool]float64{true: 1000 / capacity}[i >= 4]; p < want-1e-9 || p > want+1e-9 {
			t.Errorf("layer %d has %.4f, not %.4f", i, p, want)
		}
	}
}
