package mangopipeline

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// hopCost is the time to send activations to the next stage.
	hopCost = 200 * time.Microsecond
	// remoteCost is added to chains in other data centres, so that requests stay local unless the local replicas are
	// much busier.
	remoteCost = 30 * time.Millisecond
	// notPreferredCost is added to chains outside of the preferred data centre. In the model of mangobalance with a data centre of half
	// the size, 0.165 of the streams are remote with 30 ms and 0.072 with 70 ms; with 130 ms and 330 ms more streams are late and more
	// are rejected where slots or memory are nearly used up.
	notPreferredCost = 70 * time.Millisecond
	// redundantCost is added for replicas whose layers other replicas hold as well, which keeps requests off them until the
	// others are about half full, where it equals what the pressure adds. A replica without requests can take over lost layers at
	// once; a busy one first has to finish its requests.
	redundantCost = 15 * time.Millisecond
	// jitter is the largest random addition to the cost of a replica, as a share of the cost. It spreads the requests of
	// daemons that choose from the same state.
	jitter = 0.15
	// connectedBonus is taken from the cost of a first stage to which there is an idle connection, as a share of that cost. It is
	// a tenth of the jitter, so that it decides only between replicas that cost about the same.
	connectedBonus = jitter / 10
	// avoidedCostFactor multiplies the cost of an avoided replica, which makes it the last resort.
	avoidedCostFactor = 50
	// slotCost is the cost of a first stage of which half of the slots are in use. It equals redundantCost, so that a redundant
	// replica becomes a first stage before the slots of another one run out.
	slotCost = redundantCost
	// maxSlotUse caps the share of slots in the denominator of the cost, so that a first stage without a free slot costs a finite
	// 0.5 s, and more with each waiting request up to maxSlotLoad.
	maxSlotUse = 0.97
	// maxSlotLoad caps the share of slots in the numerator, which bounds the cost to 10 s. A replica can report any number of waiting
	// requests, and the cost must stay below that of a data centre that is cut off.
	maxSlotLoad = 20
	// failureCost is the cost of a failure of the first replica, which uses up one of the few attempts of a request.
	failureCost = 200 * time.Millisecond
	// maxPressure caps the pressure in the cost, which would grow without limit as the pressure approaches 1.
	maxPressure = 0.97
	// pressureExponent makes the cost grow with the pressure faster than accelerators differ in speed, so that requests go
	// where memory is free: fast replicas would otherwise be nearly full before slow ones are used.
	pressureExponent = 4
)

// Choose returns the cheapest chain over all data centres. Avoided replicas are used only if no data centre has a chain
// without them. The error is of KindNoChain if the usable replicas of no data centre hold all layers.
func Choose(view View, request Request) (Chain, error) {
	if view.Engine == nil || view.Engine.Layers <= 0 {
		return Chain{}, &Error{Op: "Choose", Kind: KindInvalid, Err: errors.New("the service has no engine, or its engine has no layers")}
	}
	for _, useAvoided := range []bool{false, true} {
		best, found, lowest := Chain{}, false, 0.0
		for _, s := range groupByDataCentre(view, request, useAvoided) {
			c, ok := s.cheapestChain(view.Engine.Layers)
			if !ok {
				continue
			}
			c.Cost += request.distanceCost(view, c)
			if request.Penalty != nil {
				c.Cost += request.Penalty(s.dataCentre)
			}
			if rank := request.rank(c); !found || rank < lowest {
				best, found, lowest = c, true, rank
			}
		}
		if found {
			return best, nil
		}
	}
	return Chain{}, &Error{Op: "Choose", Kind: KindNoChain, Err: errors.New("in no data centre the usable replicas hold all layers")}
}

// CoveredDataCentres returns the data centres in which replicas that are not avoided hold all layers.
func CoveredDataCentres(view View) map[string]bool {
	covered := map[string]bool{}
	if view.Engine == nil || view.Engine.Layers <= 0 {
		return covered
	}
	for _, s := range groupByDataCentre(view, Request{Random: func() float64 { return 0 }}, false) {
		if _, ok := s.cheapestChain(view.Engine.Layers); ok {
			covered[s.dataCentre] = true
		}
	}
	return covered
}

// candidate is a usable replica with its estimated cost.
type candidate struct {
	replica *mangoreplica.Replica
	// timePerLayer is the estimated time of one token in one layer, in nanoseconds.
	timePerLayer float64
	// costPerLayer is that time weighted by the pressure, by which replicas of a data centre are compared.
	costPerLayer float64
	// pressure is the share of the replica's KV cache in use once the request runs on it.
	pressure float64
	// redundant says that other replicas of the data centre hold all layers of this one.
	redundant bool
	// connected says that there is an idle connection to the replica; it counts for the first stage only.
	connected bool
	// slow replicas do not count as holders when other replicas are checked for redundancy.
	slow bool
	// failureRate is the share of requests that the replica is expected to fail; it counts for the first stage only.
	failureRate float64
	// slotUse is the share of the replica's slots in use once it runs the request as the first stage; 0 if its entry names no
	// slots. slotCost is the cost of that, in nanoseconds; it counts for the first stage only.
	slotUse, slotCost float64
}

// candidateSet holds the candidates of one data centre.
type candidateSet struct {
	dataCentre string
	candidates []candidate
	// canBeFirst reports whether a replica may be the first stage of a chain; nil allows all.
	canBeFirst func(r mangoreplica.Incarnation) bool
}

// groupByDataCentre returns the usable replicas of each data centre with their costs. Avoided ones are included, at a
// higher cost, if useAvoided is set and requests through them are not certain to fail.
func groupByDataCentre(view View, request Request, useAvoided bool) []*candidateSet {
	var sets []*candidateSet
	byDataCentre := map[string]*candidateSet{}
	unknown := UnknownPressure(view)
	for _, r := range view.Replicas {
		if !Usable(view, request, r, useAvoided) {
			continue
		}
		costFactor := 1.0
		if view.Status.Avoided(r.Incarnation(), view.Now) {
			costFactor = avoidedCostFactor
		}
		s := byDataCentre[r.DataCentre]
		if s == nil {
			s = &candidateSet{dataCentre: r.DataCentre, canBeFirst: request.CanBeFirst}
			byDataCentre[r.DataCentre] = s
			sets = append(sets, s)
		}
		c := estimateCost(view, request, r, unknown[r.DataCentre])
		factor := costFactor * (1 + jitter*request.Random())
		c.connected = r.Layers.From == 0 && request.Connected != nil && request.Connected(r)
		c.costPerLayer *= factor
		c.timePerLayer *= factor
		c.slotCost *= factor
		s.candidates = append(s.candidates, c)
	}
	for _, s := range sets {
		s.markRedundant(view.Engine.Layers)
	}
	return sets
}

// markRedundant marks replicas whose layers are all held by replicas that stay unmarked, trying those with the fewest layers
// first and then in the order of ids. The result depends only on the entries and on which replicas are avoided or slow, so
// that daemons with the same information mark the same replicas.
func (s *candidateSet) markRedundant(layers int) {
	// holders counts, for each layer, the replicas that hold it and are neither slow nor marked.
	holders := make([]int, layers)
	// addHolders adds n holders to each layer of a range and returns the lowest count in it.
	addHolders := func(r mangoreplica.LayerRange, n int) (least int) {
		least = math.MaxInt
		for l := max(r.From, 0); l < min(r.To, layers); l++ {
			holders[l] += n
			least = min(least, holders[l])
		}
		return least
	}
	var bySize []int
	for i, c := range s.candidates {
		if !c.slow {
			bySize = append(bySize, i)
			addHolders(c.replica.Layers, 1)
		}
	}
	slices.SortFunc(bySize, func(a, b int) int {
		x, y := s.candidates[a].replica, s.candidates[b].replica
		return cmp.Or(cmp.Compare(x.Layers.Len(), y.Layers.Len()), cmp.Compare(x.ID, y.ID))
	})
	for _, i := range bySize {
		c := &s.candidates[i]
		if c.redundant = addHolders(c.replica.Layers, -1) > 0; !c.redundant {
			addHolders(c.replica.Layers, 1)
		}
	}
}

// estimateCost estimates the time of one token in one layer of a replica and the pressure on its KV cache. unknown has, for each
// layer, the pressure of requests that are not in the loads of its holders (unknownPressure); nil if there are none.
func estimateCost(view View, request Request, r *mangoreplica.Replica, unknown []float64) candidate {
	e := view.Engine
	stepPerLayer := e.StepMS * float64(time.Millisecond) / float64(e.Layers)
	if a, ok := e.Accelerators[r.Accelerator]; ok && a.StepFactor > 0 {
		stepPerLayer *= a.StepFactor
	}
	load := view.Status.FleetLoad(r.ID, view.Now)
	pressure := 0.0
	if capacity := e.TokenCapacity(r.Accelerator, r.Layers.Len()); capacity > 0 {
		pressure = (load.Tokens+request.Tokens)/capacity + MeanOver(r.Layers, unknown)
	}
	slotUse := 0.0
	if r.Slots > 0 {
		slotUse = float64(load.First()+1) / float64(r.Slots)
	}
	// Slowness is squared because the queue at a slow replica grows faster than its step time.
	slowness := view.Status.Slowness(r.Incarnation(), view.Now)
	free := 1 - min(pressure, maxPressure)
	timePerLayer := stepPerLayer * slowness * slowness / free
	return candidate{
		replica: r, timePerLayer: timePerLayer, costPerLayer: timePerLayer / math.Pow(free, pressureExponent-1), pressure: pressure,
		slow:        slowness >= mangoreplica.SlowThreshold,
		failureRate: view.Status.FailureRate(r.Incarnation(), view.Now),
		slotUse:     slotUse, slotCost: min(slotUse, maxSlotLoad) / (1 - min(slotUse, maxSlotUse)) * float64(slotCost),
	}
}

// fixedCost returns the part of the cost of a stage that does not depend on its layers; first says that it is the first one.
func (c candidate) fixedCost(first bool) float64 {
	if first {
		return float64(hopCost) + c.failureRate*float64(failureCost) + c.slotCost
	}
	return float64(hopCost)
}

// cheapestChain returns the cheapest sequence of candidates from the first to the last layer.
func (s *candidateSet) cheapestChain(layers int) (Chain, bool) {
	cover, ok := s.cheapestCover(mangoreplica.LayerRange{To: layers}, func(c candidate, r mangoreplica.LayerRange) (float64, bool) {
		first := r.From == 0
		if first && s.canBeFirst != nil && !s.canBeFirst(c.replica.Incarnation()) {
			return 0, false
		}
		total := c.costPerLayer*float64(r.Len()) + c.fixedCost(first)
		if first && c.connected {
			total -= connectedBonus * c.costPerLayer * float64(r.Len())
		}
		if c.redundant {
			total += float64(redundantCost)
		}
		return total, true
	})
	if !ok {
		return Chain{}, false
	}
	chain := Chain{DataCentre: s.dataCentre}
	for _, p := range cover {
		chain.Stages = append(chain.Stages, p.stage)
		chain.Pressure = max(chain.Pressure, p.candidate.pressure)
		first := p.stage.Layers.From == 0
		if first {
			chain.SlotUse = p.candidate.slotUse
		}
		chain.Cost += time.Duration(p.candidate.timePerLayer*float64(p.stage.Layers.Len()) + p.candidate.fixedCost(first))
	}
	if chain.SlotUse > 1 {
		chain.Pressure = max(chain.Pressure, chain.SlotUse)
	}
	return chain, true
}

// coverPart is a stage of a cover with the candidate that it was made from.
type coverPart struct {
	stage     Stage
	candidate candidate
}

// cheapestCover returns the cheapest sequence of candidates that hold a range of layers without gap or overlap. costOf returns
// the cost of a candidate for a part of the range, or false if it cannot take it. A stage always runs up to the last layer of
// its replica: a cover that leaves a replica earlier can be replaced by one with as many stages that does not.
func (s *candidateSet) cheapestCover(
	layers mangoreplica.LayerRange, costOf func(c candidate, r mangoreplica.LayerRange) (float64, bool),
) ([]coverPart, bool) {
	// cost is the cost of the cheapest cover from each layer to the end, and next the candidate that it begins with.
	cost := make([]float64, layers.Len()+1)
	next := make([]int, layers.Len()+1)
	for from := layers.To - 1; from >= layers.From; from-- {
		at := from - layers.From
		cost[at], next[at] = math.Inf(1), -1
		for i, c := range s.candidates {
			to := min(c.replica.Layers.To, layers.To)
			if c.replica.Layers.From > from || to <= from {
				continue
			}
			part, ok := costOf(c, mangoreplica.LayerRange{From: from, To: to})
			if total := part + cost[to-layers.From]; ok && total < cost[at] {
				cost[at], next[at] = total, i
			}
		}
	}
	if math.IsInf(cost[0], 1) {
		return nil, false
	}
	var cover []coverPart
	for from := layers.From; from < layers.To; {
		c := s.candidates[next[from-layers.From]]
		to := min(c.replica.Layers.To, layers.To)
		cover = append(cover, coverPart{stage: Stage{Replica: c.replica, Layers: mangoreplica.LayerRange{From: from, To: to}}, candidate: c})
		from = to
	}
	return cover, true
}
