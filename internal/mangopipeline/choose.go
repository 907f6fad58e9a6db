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
	// redundantCost is added for replicas whose layers other replicas hold as well, which keeps requests off them until the
	// others are about half full, where it equals what the pressure adds. A replica without requests can take over lost layers at once; a busy one first has to
	// finish its requests.
	redundantCost = 15 * time.Millisecond
	// jitter is the largest random addition to the cost of a replica, as a share of the cost. It spreads the requests of
	// daemons that choose from the same state.
	jitter = 0.15
	// avoidedCostFactor multiplies the cost of an avoided replica, which makes it the last resort.
	avoidedCostFactor = 50
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
		best, found := Chain{Cost: math.MaxInt64}, false
		for _, s := range groupByDataCentre(view, request, useAvoided) {
			c, ok := s.cheapestChain(view.Engine.Layers)
			if !ok {
				continue
			}
			if s.dataCentre != view.LocalDataCentre {
				c.Cost += remoteCost
			}
			if request.Penalty != nil {
				c.Cost += request.Penalty(s.dataCentre)
			}
			if c.Cost < best.Cost {
				best, found = c, true
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
	// slow replicas do not count as holders when other replicas are checked for redundancy.
	slow bool
	// failureRate is the share of requests that the replica is expected to fail; it counts for the first stage only.
	failureRate float64
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
	for _, r := range view.Replicas {
		if r.Draining || r.Layers.Len() == 0 || r.Layers.To > view.Engine.Layers || (request.Exclude != nil && request.Exclude(r.ID)) {
			continue
		}
		costFactor := 1.0
		if view.Status.Avoided(r.Incarnation(), view.Now) {
			if !useAvoided || view.Status.CertainToFail(r.Incarnation(), view.Now) {
				continue
			}
			costFactor = avoidedCostFactor
		}
		s := byDataCentre[r.DataCentre]
		if s == nil {
			s = &candidateSet{dataCentre: r.DataCentre, canBeFirst: request.CanBeFirst}
			byDataCentre[r.DataCentre] = s
			sets = append(sets, s)
		}
		c := estimateCost(view, request, r)
		factor := costFactor * (1 + jitter*request.Random())
		c.costPerLayer *= factor
		c.timePerLayer *= factor
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

// estimateCost estimates the time of one token in one layer of a replica and the pressure on its KV cache.
func estimateCost(view View, request Request, r *mangoreplica.Replica) candidate {
	e := view.Engine
	stepPerLayer := e.StepMS * float64(time.Millisecond) / float64(e.Layers)
	if a, ok := e.Accelerators[r.Accelerator]; ok && a.StepFactor > 0 {
		stepPerLayer *= a.StepFactor
	}
	pressure := 0.0
	if capacity := e.TokenCapacity(r.Accelerator, r.Layers.Len()); capacity > 0 {
		pressure = (view.Status.FleetLoad(r.ID, view.Now).Tokens + request.Tokens) / capacity
	}
	// Slowness is squared because the queue at a slow replica grows faster than its step time.
	slowness := view.Status.Slowness(r.Incarnation(), view.Now)
	free := 1 - min(pressure, maxPressure)
	timePerLayer := stepPerLayer * slowness * slowness / free
	return candidate{
		replica: r, timePerLayer: timePerLayer, costPerLayer: timePerLayer / math.Pow(free, pressureExponent-1), pressure: pressure,
		slow:        slowness >= mangoreplica.SlowThreshold,
		failureRate: view.Status.FailureRate(r.Incarnation(), view.Now),
	}
}

// fixedCost returns the part of the cost of a stage that does not depend on its layers; first says that it is the first one.
func (c candidate) fixedCost(first bool) float64 {
	if first {
		return float64(hopCost) + c.failureRate*float64(failureCost)
	}
	return float64(hopCost)
}

// cheapestChain returns the cheapest sequence of candidates from the first to the last layer. A stage always runs up to the
// last layer of its replica: a chain that leaves a replica earlier can be replaced by one with as many stages that does not.
func (s *candidateSet) cheapestChain(layers int) (Chain, bool) {
	// cost is the cost of the cheapest chain from each layer to the end, and next the candidate that it begins with.
	cost := make([]float64, layers+1)
	next := make([]int, layers+1)
	for from := layers - 1; from >= 0; from-- {
		cost[from], next[from] = math.Inf(1), -1
		for i, c := range s.candidates {
			to := min(c.replica.Layers.To, layers)
			if c.replica.Layers.From > from || to <= from || (from == 0 && s.canBeFirst != nil && !s.canBeFirst(c.replica.Incarnation())) {
				continue
			}
			total := c.costPerLayer*float64(to-from) + c.fixedCost(from == 0) + cost[to]
			if c.redundant {
				total += float64(redundantCost)
			}
			if total < cost[from] {
				cost[from], next[from] = total, i
			}
		}
	}
	if math.IsInf(cost[0], 1) {
		return Chain{}, false
	}
	chain := Chain{DataCentre: s.dataCentre}
	for from := 0; from < layers; {
		c := s.candidates[next[from]]
		to := min(c.replica.Layers.To, layers)
		chain.Stages = append(chain.Stages, Stage{Replica: c.replica, Layers: mangoreplica.LayerRange{From: from, To: to}})
		chain.Pressure = max(chain.Pressure, c.pressure)
		chain.Cost += time.Duration(c.timePerLayer*float64(to-from) + c.fixedCost(from == 0))
		from = to
	}
	return chain, true
}
