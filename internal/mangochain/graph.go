package mangochain

import (
	"slices"
	"time"
)

// pathCost orders paths by the number of ejected replicas first and by time second.
type pathCost struct {
	ejected  int
	stepTime time.Duration
}

func (p pathCost) less(q pathCost) bool {
	if p.ejected != q.ejected {
		return p.ejected < q.ejected
	}
	return p.stepTime < q.stepTime
}

func (p pathCost) plus(q pathCost) pathCost {
	return pathCost{ejected: p.ejected + q.ejected, stepTime: p.stepTime + q.stepTime}
}

// edge is a usable replica with its estimates.
type edge struct {
	replica  *Replica
	cost     pathCost
	load     float64
	ownCalls int
}

// layerRange is a range of layers.
type layerRange struct{ from, to uint32 }

// edgeGroup holds the edges of one range; ejected ones only when there is no other.
type edgeGroup struct {
	layers layerRange
	edges  []edge
	best   pathCost
}

// layerGraph has the groups that leave each layer boundary and the price of the rest of the way from it.
type layerGraph struct {
	outgoing  map[uint32][]*edgeGroup
	costToEnd map[uint32]pathCost
}

func newLayerGraph(view *View, request *Request) *layerGraph {
	bySpan := map[layerRange]*edgeGroup{}
	for i := range view.Replicas {
		r := &view.Replicas[i]
		key := layerRange{from: r.FromLayer, to: r.ToLayer}
		if !isUsable(r, request.Profile) || request.Exclude[r.Host] || !request.matchesRange(key) {
			continue
		}
		g := bySpan[key]
		if g == nil {
			g = &edgeGroup{layers: key}
			bySpan[key] = g
		}
		g.add(newEdge(view, request, r))
	}
	built := &layerGraph{outgoing: map[uint32][]*edgeGroup{}, costToEnd: map[uint32]pathCost{}}
	for _, g := range bySpan {
		built.outgoing[g.layers.from] = append(built.outgoing[g.layers.from], g)
	}
	for _, groups := range built.outgoing {
		slices.SortFunc(groups, func(a, b *edgeGroup) int { return int(a.layers.to) - int(b.layers.to) })
	}
	_, end := request.layerBounds()
	built.computeCostToEnd(end)
	return built
}

// layerBounds returns the layer boundaries between which the chain runs.
func (r *Request) layerBounds() (from, to uint32) {
	if r.ToLayer > 0 {
		return r.FromLayer, r.ToLayer
	}
	return 0, r.Profile.GetLayers()
}

func (r *Request) matchesRange(key layerRange) bool {
	return r.ToLayer == 0 || key == layerRange{from: r.FromLayer, to: r.ToLayer}
}

func newEdge(view *View, request *Request, r *Replica) edge {
	own := 0
	if request.InFlight != nil {
		own = request.InFlight(r.Host)
	}
	estimate := estimateLoad(r, own, view.DaemonCount)
	e := edge{replica: r, load: estimate, ownCalls: own, cost: pathCost{stepTime: estimateStepTime(view, r, estimate)}}
	if r.Ejected {
		e.cost.ejected = 1
	}
	return e
}

// add keeps ejected edges only as long as there is no other.
func (g *edgeGroup) add(e edge) {
	switch {
	case len(g.edges) == 0 || e.cost.ejected < g.best.ejected:
		g.edges, g.best = append(g.edges[:0], e), e.cost
	case e.cost.ejected > g.best.ejected:
	default:
		g.edges = append(g.edges, e)
		if e.cost.less(g.best) {
			g.best = e.cost
		}
	}
}

// computeCostToEnd finds the cheapest rest of the way from each boundary to the last layer, from the end backwards.
func (g *layerGraph) computeCostToEnd(layers uint32) {
	g.costToEnd[layers] = pathCost{}
	starts := make([]uint32, 0, len(g.outgoing))
	for from := range g.outgoing {
		starts = append(starts, from)
	}
	slices.Sort(starts)
	for _, from := range slices.Backward(starts) {
		for _, group := range g.outgoing[from] {
			rest, ok := g.costToEnd[group.layers.to]
			if !ok {
				continue
			}
			total := group.best.plus(rest)
			if known, ok := g.costToEnd[from]; !ok || total.less(known) {
				g.costToEnd[from] = total
			}
		}
	}
}
