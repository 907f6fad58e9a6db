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
	// spareCost keeps requests off replicas whose layers others hold too, until those are about half full: a replica that
	// no request passes through takes over lost layers at once, while another one first waits for its requests.
	spareCost = 15 * time.Millisecond
	// jitter spreads requests of daemons that decide on the same state, as a share of the cost.
	jitter = 0.15
	// avoidedFactor makes a replica that is avoided the last resort.
	avoidedFactor = 50
	// faultCost is the cost of a request that its first replica fails, which takes one of its few attempts.
	faultCost = 200 * time.Millisecond
	// maxPressure bounds the pressure in the cost, which grows without limit towards 1.
	maxPressure = 0.97
)

// Choose returns the cheapest chain over all data centres. The error is KindNoChain when usable replicas of no data
// centre cover all layers. Replicas that are avoided are used only if there is no other way.
func Choose(view View, request Request) (Chain, error) {
	if view.Engine == nil || view.Engine.Layers <= 0 {
		return Chain{}, &Error{Op: "Choose", Kind: KindInvalid, Err: errors.New("the service has no layers")}
	}
	for _, avoided := range []bool{false, true} {
		best, found := Chain{Cost: math.MaxInt64}, false
		for _, g := range group(view, request, avoided) {
			c, ok := g.cheapest(view.Engine.Layers)
			if !ok {
				continue
			}
			if g.dataCentre != view.LocalDataCentre {
				c.Cost += remoteCost
			}
			if request.Penalty != nil {
				c.Cost += request.Penalty(g.dataCentre)
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
	for _, g := range group(view, Request{Random: func() float64 { return 0 }}, false) {
		if _, ok := g.cheapest(view.Engine.Layers); ok {
			covered[g.dataCentre] = true
		}
	}
	return covered
}

// candidate is a replica with its cost for each layer.
type candidate struct {
	replica  *mangoreplica.Replica
	perLayer float64
	pressure float64
	// spare says that the others hold all its layers.
	spare bool
	// slow replicas are no reason to keep others free.
	slow bool
	// faults is the share of requests that the replica fails as the first of a chain.
	faults float64
}

// site has the candidates of one data centre.
type site struct {
	dataCentre string
	candidates []candidate
	// first reports whether a replica may be the first of a chain; nil allows all.
	first func(id string) bool
}

func group(view View, request Request, avoided bool) []*site {
	var sites []*site
	index := map[string]*site{}
	for _, r := range view.Replicas {
		if r.Draining || r.Layers.Len() == 0 || (request.Exclude != nil && request.Exclude(r.ID)) {
			continue
		}
		factor := 1.0
		if view.Status.Avoided(r.Incarnation(), view.Now) {
			if !avoided || view.Status.Out(r.Incarnation(), view.Now) {
				continue
			}
			factor = avoidedFactor
		}
		s := index[r.DataCentre]
		if s == nil {
			s = &site{dataCentre: r.DataCentre, first: request.CanBeFirst}
			index[r.DataCentre] = s
			sites = append(sites, s)
		}
		c := assess(view, request, r)
		c.perLayer *= factor * (1 + jitter*request.Random())
		s.candidates = append(s.candidates, c)
	}
	for _, s := range sites {
		s.markSpares(view.Engine.Layers)
	}
	return sites
}

// markSpares marks the replicas whose layers the others hold as well, the smallest first. Daemons that know the same entries
// and avoid the same replicas mark the same ones.
func (s *site) markSpares(layers int) {
	holders := make([]int, layers)
	count := func(r mangoreplica.LayerRange, n int) (least int) {
		least = math.MaxInt
		for l := max(r.From, 0); l < min(r.To, layers); l++ {
			holders[l] += n
			least = min(least, holders[l])
		}
		return least
	}
	var order []int
	for i, c := range s.candidates {
		if !c.slow {
			order = append(order, i)
			count(c.replica.Layers, 1)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := s.candidates[a].replica, s.candidates[b].replica
		return cmp.Or(cmp.Compare(x.Layers.Len(), y.Layers.Len()), cmp.Compare(x.ID, y.ID))
	})
	for _, i := range order {
		c := &s.candidates[i]
		if c.spare = count(c.replica.Layers, -1) > 0; !c.spare {
			count(c.replica.Layers, 1)
		}
	}
}

// assess estimates the time of a token in one layer of a replica and the pressure on its memory. The other daemons are
// taken to have as much in flight as this one.
func assess(view View, request Request, r *mangoreplica.Replica) candidate {
	e := view.Engine
	step := e.StepMS * float64(time.Millisecond) / float64(e.Layers)
	if a, ok := e.Accelerators[r.Accelerator]; ok && a.StepFactor > 0 {
		step *= a.StepFactor
	}
	pressure := 0.0
	if capacity := e.TokenCapacity(r.Accelerator, r.Layers.Len()); capacity > 0 {
		_, tokens := view.Status.InFlight(r.ID)
		pressure = (tokens*float64(max(view.Daemons, 1)) + request.Tokens) / capacity
	}
	// Queues at a slow replica grow faster than its steps.
	slowness := view.Status.Slowness(r.Incarnation(), view.Now)
	return candidate{
		replica: r, perLayer: step * slowness * slowness / (1 - min(pressure, maxPressure)), pressure: pressure,
		slow:   slowness >= mangoreplica.SlowThreshold,
		faults: view.Status.Faults(r.Incarnation(), view.Now),
	}
}

// cheapest returns the cheapest way from the first to the last layer. Each part is used to the end of its layers: any
// way that leaves a part earlier can be replaced by one with as many parts that does not.
func (s *site) cheapest(layers int) (Chain, bool) {
	cost := make([]float64, layers+1)
	next := make([]int, layers+1)
	for at := layers - 1; at >= 0; at-- {
		cost[at], next[at] = math.Inf(1), -1
		for i, c := range s.candidates {
			to := min(c.replica.Layers.To, layers)
			if c.replica.Layers.From > at || to <= at || (at == 0 && s.first != nil && !s.first(c.replica.ID)) {
				continue
			}
			total := c.perLayer*float64(to-at) + float64(hopCost) + cost[to]
			if at == 0 {
				total += c.faults * float64(faultCost)
			}
			if c.spare {
				total += float64(spareCost)
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
		chain.Stages = append(chain.Stages, Stage{Replica: c.replica, Layers: mangoreplica.LayerRange{From: at, To: to}})
		chain.Pressure = max(chain.Pressure, c.pressure)
		at = to
	}
	return chain, true
}
