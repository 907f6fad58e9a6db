package mangocapacity

import (
	"cmp"
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// defaultStepTime is the assumed time of a token of an answer as long as no request has ended.
	defaultStepTime = 20 * time.Millisecond
	// minPending is the least number of waiting requests that counts as a queue; fewer may wait for other reasons.
	minPending = 4
)

// Site is what is known of the replicas of a service in one data centre that hold the whole model.
type Site struct {
	// DataCentre is the name of the data centre.
	DataCentre string
	// Capacity is the memory for requests at the layer with the least free memory, Used the part of it in use and Free the
	// rest, all in tokens. If the free slots of the first stages, multiplied by the mean tokens of a request, are less than that free
	// memory, the three numbers are those of the slots.
	Capacity, Used, Free float64
	// Read is the prefill rate, in prompt tokens per second.
	Read float64
	// Wait is the expected wait for a first event.
	Wait time.Duration
}

// Sites returns the room of each data centre whose usable replicas hold all layers, in the order of their names.
func Sites(view mangopipeline.View) []Site {
	if view.Engine == nil || view.Engine.Layers <= 0 {
		return nil
	}
	layers, slots := map[string][]layer{}, map[string]*firstStages{}
	unknown := mangopipeline.UnknownPressure(view)
	for _, r := range view.Replicas {
		if r.Draining || r.Layers.Len() == 0 || r.Layers.To > view.Engine.Layers || view.Status.Avoided(r.Incarnation(), view.Now) {
			continue
		}
		list := layers[r.DataCentre]
		if list == nil {
			list = make([]layer, view.Engine.Layers)
			layers[r.DataCentre], slots[r.DataCentre] = list, &firstStages{}
		}
		capacity := view.Engine.TokenCapacity(r.Accelerator, r.Layers.Len())
		load := view.Status.FleetLoad(r.ID, view.Now)
		used := min(load.Tokens+capacity*mangopipeline.MeanOver(r.Layers, unknown[r.DataCentre]), capacity)
		slots[r.DataCentre].tokens += used * float64(r.Layers.Len()) / float64(view.Engine.Layers)
		if r.Layers.From <= 0 {
			slots[r.DataCentre].add(r, load)
		}
		for i := max(r.Layers.From, 0); i < r.Layers.To; i++ {
			list[i].capacity += capacity
			list[i].used += used
		}
	}
	var sites []Site
	for name, list := range layers {
		if slices.ContainsFunc(list, func(l layer) bool { return l.capacity <= 0 }) {
			continue
		}
		if l, ok := slots[name].asLayer(); ok {
			list = append(list, l)
		}
		least := slices.MinFunc(list, func(a, b layer) int { return cmp.Compare(a.capacity-a.used, b.capacity-b.used) })
		sites = append(sites, Site{DataCentre: name, Capacity: least.capacity, Used: least.used, Free: least.capacity - least.used})
	}
	slices.SortFunc(sites, func(a, b Site) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return sites
}

// layer is the memory of all holders of one layer, in tokens.
type layer struct{ capacity, used float64 }

// firstStages sums up the slots and the load of the replicas of a data centre that hold the first layer.
type firstStages struct {
	// slots is the number of requests that they can run as first stages, and taken the number of slots in use.
	slots, taken int
	// unlimited says that the entry of one of them names no slots.
	unlimited bool
	load      mangoreplica.Load
	// tokens is the number of tokens of all requests in the data centre, each of which keeps them at all layers.
	tokens float64
}

// add adds a replica with its load.
func (f *firstStages) add(r *mangoreplica.Replica, load mangoreplica.Load) {
	f.slots += r.Slots
	f.taken += min(load.First(), max(r.Slots, 0))
	f.unlimited = f.unlimited || r.Slots <= 0
	f.load = f.load.With(load)
}

// meanTokens returns the mean tokens of the requests; 0 if there are none. It is the higher of two estimates. The mean at the replicas
// themselves is too low if requests use a part of their layers. The tokens for each received request are too low if daemons of an earlier
// version report later stages as received; they are too high while a first stage is avoided.
func (f *firstStages) meanTokens() float64 {
	mean := f.load.Tokens / float64(max(f.load.Requests, 1))
	if received := f.load.First(); received > 0 {
		mean = max(mean, f.tokens/float64(received))
	}
	return mean
}

// asLayer returns the slots as the memory of a layer, by the mean tokens of a request. ok is false if a replica without slots in its
// entry takes any number of requests, or if no request shows the mean.
func (f *firstStages) asLayer() (l layer, ok bool) {
	mean := f.meanTokens()
	return layer{capacity: float64(f.slots) * mean, used: float64(f.taken) * mean}, !f.unlimited && mean > 0
}

// stepTime returns the mean time per expected token of an answer. If callers state wrong lengths, that corrects the mean.
func (p Progress) stepTime() time.Duration {
	if p.EndedSteps <= 0 || p.EndedSeconds <= 0 {
		return defaultStepTime
	}
	return time.Duration(p.EndedSeconds / p.EndedSteps * float64(time.Second))
}

// wait returns the expected wait for a first event: the lower of two estimates. Twice the mean age of the waiting requests is
// right for a queue, but too high when a few of them hang. Pending tokens divided by the prefill rate are right on average, but
// too high while the demand rises from nothing.
func (p Progress) wait() time.Duration {
	if p.Pending < minPending {
		return 0
	}
	seconds := 2 * p.PendingSeconds / p.Pending
	if p.ReadTokens > 0 {
		seconds = min(seconds, p.PendingTokens/p.ReadTokens)
	}
	return time.Duration(seconds * float64(time.Second))
}
