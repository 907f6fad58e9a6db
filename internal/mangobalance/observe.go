package mangobalance

import (
	"time"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangopipeline"
)

// defaultAnswerTokens is the assumed length of an answer if the engine states none.
const defaultAnswerTokens = 200

// Observe returns the state of each data centre whose usable replicas hold all layers, in the order of their names. demand
// has the memory that the demand of each data centre would take, as in mangocapacity.View; nil if that is not known.
func Observe(view mangopipeline.View, demand map[string]float64) []Site {
	known := mangocapacity.Sites(view)
	sites := make([]Site, len(known))
	index := make(map[string]int, len(known))
	for i, k := range known {
		sites[i] = Site{DataCentre: k.DataCentre, Capacity: k.Capacity, Used: k.Used, Demand: demand[k.DataCentre]}
		index[k.DataCentre] = i
	}
	// held and step have the number of layers held in each data centre, and the sum of their times for one token.
	held, step := make([]float64, len(sites)), make([]float64, len(sites))
	// unlimited says that a first stage of a data centre has no slots configured, so that slots do not run out there.
	unlimited := make([]bool, len(sites))
	for _, r := range view.Replicas {
		i, whole := index[r.DataCentre]
		if !whole || r.Draining || r.Layers.Len() == 0 || r.Layers.To > view.Engine.Layers || view.Status.Avoided(r.Incarnation(), view.Now) {
			continue
		}
		layers := float64(r.Layers.Len())
		held[i] += layers
		step[i] += layers * stepTime(view, r.Accelerator) * view.Status.Slowness(r.Incarnation(), view.Now)
		if r.Layers.From == 0 {
			unlimited[i] = unlimited[i] || r.Slots <= 0
			sites[i].Slots += float64(r.Slots)
			sites[i].SlotsUsed += min(float64(view.Status.FleetLoad(r.ID, view.Now).First()), float64(r.Slots))
		}
	}
	answer := view.Engine.MeanAnswerTokens
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	for i := range sites {
		if unlimited[i] {
			sites[i].Slots, sites[i].SlotsUsed = 0, 0
		}
		sites[i].Duration = time.Duration(answer * step[i] / max(held[i], 1) * float64(time.Second))
	}
	return sites
}

// stepTime returns the time of one token in all layers on an accelerator, in seconds.
func stepTime(view mangopipeline.View, accelerator string) float64 {
	t := view.Engine.StepMS * time.Millisecond.Seconds()
	if a, ok := view.Engine.Accelerators[accelerator]; ok && a.StepFactor > 0 {
		t *= a.StepFactor
	}
	return t
}
