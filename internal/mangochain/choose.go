package mangochain

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearEqual is the factor within which chains count as equal; estimates are no better than that.
	nearEqual = 1.1
	// affinity is the factor up to which a replica that likely holds the prefix is preferred to the best.
	affinity = 1.5
)

// Choose returns a chain for a request. The error is KindNoChain when usable replicas do not cover all layers.
func Choose(view View, request Request) (Chain, error) {
	start, end := request.bounds()
	if end == 0 {
		return Chain{}, &Error{Op: "Choose", Kind: KindInvalid, Err: fmt.Errorf("profile %q has no layers", request.Profile.GetName())}
	}
	g := newGraph(&view, &request)
	if _, ok := g.rest[start]; !ok {
		return Chain{}, &Error{Op: "Choose", Kind: KindNoChain, Err: fmt.Errorf("profile %q", request.Profile.GetName())}
	}
	random := rand.New(rand.NewPCG(request.Seed, xxhash.Sum64String(view.LocalDataCentre)))
	chain := Chain{Reason: "Cheapest"}
	for at := start; at < end; {
		e, reason := g.pick(at, &view, &request, random)
		chain.Stages = append(chain.Stages, Stage{Replica: *e.replica, Cost: e.price.time})
		chain.Cost += e.price.time
		if reason != "" {
			chain.Reason = reason
		}
		at = e.replica.ToLayer
	}
	return chain, nil
}

// pick chooses the next replica from a boundary. An edge is taken only up to a factor of what the cheapest way spends
// between its boundaries, so the whole chain costs at most that factor of the cheapest one.
func (g *graph) pick(at uint32, view *View, request *Request, random *rand.Rand) (*edge, string) {
	if request.PrefixDigest != "" {
		if e := g.preferred(at, view, request); e != nil {
			return e, "Prefix"
		}
	}
	var chosen *edge
	total, count := 0.0, 0
	for e, spent := range g.leaving(at) {
		if float64(e.price.time) > nearEqual*float64(spent) {
			continue
		}
		// A single pass chooses each edge with a probability in proportion to its weight.
		w := weight(e)
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

// leaving yields the edges from a boundary that lead to the end with the fewest ejected replicas, each with the time
// that the cheapest way spends between its boundaries.
func (g *graph) leaving(at uint32) func(yield func(*edge, time.Duration) bool) {
	return func(yield func(*edge, time.Duration) bool) {
		for _, group := range g.groups[at] {
			rest, ok := g.rest[group.span.to]
			if !ok || group.best.ejected+rest.ejected != g.rest[at].ejected {
				continue
			}
			for i := range group.edges {
				if !yield(&group.edges[i], g.rest[at].time-rest.time) {
					return
				}
			}
		}
	}
}

// preferred returns the edge with the highest rendezvous hash of those that are not much dearer than the best.
// The calls of other daemons with the same prefix are assumed to be like the own ones.
func (g *graph) preferred(at uint32, view *View, request *Request) *edge {
	var chosen *edge
	var highest uint64
	for e, spent := range g.leaving(at) {
		busy := max(e.load, float64(e.own*max(view.DaemonCount, 1)))
		if float64(cost(view, e.replica, busy)) > affinity*float64(spent) {
			continue
		}
		hash := xxhash.Sum64String(request.PrefixDigest + "\x00" + e.replica.Host)
		if chosen == nil || hash > highest {
			chosen, highest = e, hash
		}
	}
	return chosen
}

// weight favours replicas with free places in the batch.
func weight(e *edge) float64 {
	free := max(float64(e.replica.MaxBatch)-e.load, 1)
	return free * max(min(e.replica.SlowStartFactor, 1), minShare)
}
