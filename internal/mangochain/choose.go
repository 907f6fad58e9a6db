package mangochain

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearEqualFactor is the cost relative to the cheapest up to which replicas count as equal; the estimates are not more
	// accurate than that.
	nearEqualFactor = 1.1
	// prefixAffinityFactor is the cost relative to the cheapest up to which a replica that probably has the prompt prefix
	// cached is preferred.
	prefixAffinityFactor = 1.5
)

// Choose returns a chain for a request. The error is KindNoChain when the usable replicas do not cover all layers of the
// profile or the range of the request, and KindInvalid when the profile has no layers.
func Choose(view View, request Request) (Chain, error) {
	start, end := request.layerBounds()
	if end == 0 {
		return Chain{}, &Error{Op: "Choose", Kind: KindInvalid, Err: fmt.Errorf("profile %q has no layers", request.Profile.GetName())}
	}
	g := newLayerGraph(&view, &request)
	if _, ok := g.costToEnd[start]; !ok {
		return Chain{}, &Error{Op: "Choose", Kind: KindNoChain, Err: fmt.Errorf("no chain of usable replicas for profile %q", request.Profile.GetName())}
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

// selectEdge selects the next replica from a boundary and returns the reason when it is not simply the cheapest. The cost
// of an edge is limited to a factor of what the cheapest chain would spend between the same boundaries, so the whole
// chain costs at most that factor of the cheapest one.
func (g *layerGraph) selectEdge(at uint32, view *View, request *Request, random *rand.Rand) (*edge, string) {
	if request.PrefixDigest != "" {
		if e := g.selectByPrefix(at, view, request); e != nil {
			return e, "Prefix"
		}
	}
	var chosen *edge
	total, count := 0.0, 0
	for e, cheapest := range g.candidates(at) {
		if float64(e.cost.stepTime) > nearEqualFactor*float64(cheapest) {
			continue
		}
		// Weighted reservoir sampling: a single pass selects each edge with a probability in proportion to its weight.
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

// candidates yields the edges from a boundary that lead to the end with the fewest ejected replicas. With each edge it
// yields the most that an edge between these boundaries may cost on a cheapest chain: the lowest time to the end from
// the first boundary minus that from the second.
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

// selectByPrefix returns the edge with the highest rendezvous hash of prefix and host, so that calls with one prefix go to
// the same replicas. Edges above prefixAffinityFactor are left out; it returns nil when there is no other. Their load
// assumes that every daemon has as many calls on the replica as this one, since all select it for the same prefix.
func (g *layerGraph) selectByPrefix(at uint32, view *View, request *Request) *edge {
	var chosen *edge
	var highest uint64
	for e, cheapest := range g.candidates(at) {
		load := max(e.load, float64(e.ownCalls*max(view.DaemonCount, 1)))
		if float64(estimateStepTime(view, e.replica, load)) > prefixAffinityFactor*float64(cheapest) {
			continue
		}
		hash := xxhash.Sum64String(request.PrefixDigest + "\x00" + e.replica.Host)
		if chosen == nil || hash > highest {
			chosen, highest = e, hash
		}
	}
	return chosen
}

// selectionWeight returns the weight of an edge in the random choice: the free places in the batch, reduced during slow
// start.
func selectionWeight(e *edge) float64 {
	free := max(float64(e.replica.MaxBatch)-e.load, 1)
	return free * max(min(e.replica.SlowStartFactor, 1), minSlowStartFactor)
}
