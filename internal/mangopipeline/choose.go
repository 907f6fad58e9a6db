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
	// hopCost is the time to pass activations on to the next part.
	hopCost = 200 * time.Microsecond
	// remoteCost keeps requests in their own data centre unless its replicas are much busier.
	remoteCost = 30 * time.Millisecond
	// redundantCost keeps requests off replicas whose layers others hold too, until those are about half full: a replica that
	// no request passes through takes over lost layers at once, while another one first waits for its requests.
	redundantCost = 15 * time.Millisecond
	// jitter spreads requests of daemons that decide on the same state, as a share of the cost.
	jitter = 0.15
	// avoidedCostFactor makes a replica that is avoided the last resort.
	avoidedCostFactor = 50
	// failureCost is the cost of a request that its first replica fails, which takes one of its few attempts.
	failureCost = 200 * time.Millisecond
	// maxPressure bounds the pressure in the cost, which grows without limit towards 1.
	maxPressure = 0.97
)

// Choose returns the cheapest chain over all data centres. The error is KindNoChain when usable replicas of no data
// centre cover all layers. Replicas that are avoided are used only if there is no other way.
func Choose(view View, request Request) (Chain, error) {
	if view.Engine == nil || view.Engine.Layers <= 0 {
		return Chain{}, &Error{Op: "Choose", Kind: KindInvalid, Err: errors.New("the service has no layers")}
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
	return Chain{}, &Error{Op: "Choose", Kind: KindNoChain, Err: errors.New("the layers are not covered in any data centre")}
}

// CoveredDataCentres reports the data centres in which replicas that are not avoided cover all layers.
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

// candidate is a replica with its cost for each layer.
type candidate struct {
	replica      *mangoreplica.Replica
	costPerLayer float64
	pressure     float64
	// redundant says that the others hold all its layers.
	redundant bool
	// slow replicas are no reason to keep others free.
	slow bool
	// failureRate is the share of requests that the replica fails as the first of a chain.
	failureRate float64
}

// candidateSet has the candidates of one data centre.
type candidateSet struct {
	dataCentre string
	candidates []candidate
	// canBeFirst reports whether a replica may be the canBeFirst of a chain; nil allows all.
	canBeFirst func(id string) bool
}

func groupByDataCentre(view View, request Request, useAvoided bool) []*candidateSet {
	var sets []*candidateSet
	byDataCentre := map[string]*candidateSet{}
	for _, r := range view.Replicas {
		if r.Draining || r.Layers.Len() == 0 || (request.Exclude != nil && request.Exclude(r.ID)) {
			continue
		}
		costFactor := 1.0
		if view.Status.Avoided(r.Incarnation(), view.Now) {
			if !useAvoided || view.Status.Out(r.Incarnation(), view.Now) {
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
		c.costPerLayer *= costFactor * (1 + jitter*request.Random())
		s.candidates = append(s.candidates, c)
	}
	for _, s := range sets {
		s.markRedundant(view.Engine.Layers)
	}
	return sets
}

// markRedundant marks the replicas whose layers the others hold as well, the smallest first. Daemons that know the same entries
// and avoid the same replicas mark the same ones.
func (s *candidateSet) markRedundant(layers int) {
	holders := make([]int, layers)
	addHolders := func(r mangoreplica.Range, n int) (least int) {
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

// estimateCost estimates the time of a token in one layer of a replica and the pressure on its memory. The other daemons are
// taken to have as much in flight as this one.
func estimateCost(view View, request Request, r *mangoreplica.Replica) candidate {
	e := view.Engine
	stepPerLayer := e.StepMS * float64(time.Millisecond) / float64(e.Layers)
	if a, ok := e.Accelerators[r.Accelerator]; ok && a.StepFactor > 0 {
		stepPerLayer *= a.StepFactor
	}
	pressure := 0.0
	if capacity := e.Capacity(r.Accelerator, r.Layers.Len()); capacity > 0 {
		_, tokens := view.Status.InFlight(r.ID)
		pressure = (tokens*float64(max(view.Daemons, 1)) + request.Tokens) / capacity
	}
	// Queues at a slow replica grow faster than its steps.
	slowness := view.Status.Slowness(r.Incarnation(), view.Now)
	return candidate{
		replica: r, costPerLayer: stepPerLayer * slowness * slowness / (1 - min(pressure, maxPressure)), pressure: pressure,
		slow:        slowness >= mangoreplica.SlowFrom,
		failureRate: view.Status.Faults(r.Incarnation(), view.Now),
	}
}

// cheapestChain returns the cheapestChain way from the first to the last layer. Each part is used to the end of its layers: any
// way that leaves a part earlier can be replaced by one with as many parts that does not.
func (s *candidateSet) cheapestChain(layers int) (Chain, bool) {
	cost := make([]float64, layers+1)
	next := make([]int, layers+1)
	for at := layers - 1; at >= 0; at-- {
		cost[at], next[at] = math.Inf(1), -1
		for i, c := range s.candidates {
			to := min(c.replica.Layers.To, layers)
			if c.replica.Layers.From > at || to <= at || (at == 0 && s.canBeFirst != nil && !s.canBeFirst(c.replica.ID)) {
				continue
			}
			total := c.costPerLayer*float64(to-at) + float64(hopCost) + cost[to]
			if at == 0 {
				total += c.failureRate * float64(failureCost)
			}
			if c.redundant {
				total += float64(redundantCost)
			}
			if total < cost[at] {
				cost[at], next[at] = total, i
			}
		}
	}
	if math.IsInf(cost[0], 1) {
		return Chain{}, false
	}
	chain := Chain{DataCentre: s.dataCentre, Cost: time.Duration(cost[0])}
	for at := 0; at < layers; {
		c := s.candidates[next[at]]
		to := min(c.replica.Layers.To, layers)
		chain.Stages = append(chain.Stages, Stage{Replica: c.replica, Layers: mangoreplica.Range{From: at, To: to}})
		chain.Pressure = max(chain.Pressure, c.pressure)
		at = to
	}
	return chain, true
}
