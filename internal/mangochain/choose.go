package mangochain

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearEqualFactor is the factor within which chains count as equal; estimates are no better than that.
	nearEqualFactor = 1.1
	// prefixAffinityFactor is the factor up to which a replica that likely holds the prefix is preferred to the best.
	prefixAffinityFactor = 1.5
)

// Choose returns a chain for a request. The error is KindNoChain when usable replicas do not cover all layers.
func Choose(view View, request Request) (Chain, error) {
	start, end := request.layerBounds()
	if end == 0 {
		return Chain{}, &Error{Op: "Choose", Kind: KindInvalid, Err: fmt.Errorf("profile %q has no layers", request.Profile.GetName())}
	}
	g := newLayerGraph(&view, &request)
	if _, ok := g.costToEnd[start]; !ok {
		return Chain{}, &Error{Op: "Choose", Kind: KindNoChain, Err: fmt.Errorf("profile %q", request.Profile.GetName())}
	}
	random := rand.New(rand.NewPCG(request.Seed, xxhash.Sum64String(view.LocalDataCentre)))
	chain := Chain{Reason: "Cheapest"}
	for at := start; at < end; {
		e, reason := g.selectEdge(at, &view, &request, random)
		chain.Stages = append(chain.Stages, Stage{Replica: *e.replica, Cost: e.cost.stepTime})
		chain.Cost += e.cost.stepTime
		if reason != "" {
			chain.Reason = reason
		}
		at = e.replica.ToLayer
	}
	return chain, nil
}

// selectEdge chooses the next replica from a boundary. An edge is taken only up to a factor of what the cheapest way spends
// between its boundaries, so the whole chain costs at most that factor of the cheapest one.
func (g *layerGraph) selectEdge(at uint32, view *View, request *Request, random *rand.Rand) (*edge, string) {
	if request.PrefixDigest != "" {
		if e := g.selectByPrefix(at, view, request); e != nil {
			return e, "Prefix"
		}
	}
	var chosen *edge
	total, count := 0.0, 0
	for e, spent := range g.candidates(at) {
		if float64(e.cost.stepTime) > nearEqualFactor*float64(spent) {
			continue
		}
		// A single pass chooses each edge with a probability in proportion to its weight.
		w := selectionWeight(e)
		total += w
		count++
		if chosen == nil || random.Float64()*total < w {
			chosen = e
		}
	}
	if count > 1 {
		return chosen, "NearEqual"
	}
	return chosen, ""
}

// candidates yields the edges from a boundary that lead to the end with the fewest ejected replicas, each with the time
// that the cheapest way spends between its boundaries.
func (g *layerGraph) candidates(at uint32) func(yield func(*edge, time.Duration) bool) {
	return func(yield func(*edge, time.Duration) bool) {
		for _, group := range g.outgoing[at] {
			rest, ok := g.costToEnd[group.layers.to]
			if !ok || group.best.ejected+rest.ejected != g.costToEnd[at].ejected {
				continue
			}
			for i := range group.edges {
				if !yield(&group.edges[i], g.costToEnd[at].stepTime-rest.stepTime) {
					return
				}
			}
		}
	}
}

// selectByPrefix returns the edge with the highest rendezvous hash of those that are not much dearer than the best.
// The calls of other daemons with the same prefix are assumed to be like the own ones.
func (g *layerGraph) selectByPrefix(at uint32, view *View, request *Request) *edge {
	var chosen *edge
	var highest uint64
	for e, spent := range g.candidates(at) {
		busy := max(e.load, float64(e.ownCalls*max(view.DaemonCount, 1)))
		if float64(estimateStepTime(view, e.replica, busy)) > prefixAffinityFactor*float64(spent) {
			continue
		}
		hash := xxhash.Sum64String(request.PrefixDigest + "\x00" + e.replica.Host)
		if chosen == nil || hash > highest {
			chosen, highest = e, hash
		}
	}
	return chosen
}

// selectionWeight favours replicas with free places in the batch.
func selectionWeight(e *edge) float64 {
	free := max(float64(e.replica.MaxBatch)-e.load, 1)
	return free * max(min(e.replica.SlowStartFactor, 1), minSlowStartFactor)
}
