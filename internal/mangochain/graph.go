package mangochain

import (
	"slices"
	"time"
)

// pathCost is the cost of an edge or path of the layer graph. Costs are compared by the number of ejected replicas first
// and by the time of a decode step second.
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

// plus returns the cost of two paths in a row.
func (p pathCost) plus(q pathCost) pathCost {
	return pathCost{ejected: p.ejected + q.ejected, stepTime: p.stepTime + q.stepTime}
}

// edge is an edge of the layer graph: a usable replica, which leads from its first layer boundary to its last.
type edge struct {
	replica *Replica
	cost    pathCost
	// load is the estimated number of calls of all daemons on the replica, ownCalls that of this daemon.
	load     float64
	ownCalls int
}

// layerRange is the half-open range [from, to) of layers.
type layerRange struct{ from, to uint32 }

// edgeGroup holds the parallel edges of one layer range. It has ejected replicas only when the range has no other; best is
// the lowest cost of its edges.
type edgeGroup struct {
	layers layerRange
	edges  []edge
	best   pathCost
}

// layerGraph is a directed graph whose vertices are layer boundaries and whose edges are replicas. A chain is a path
// through it.
type layerGraph struct {
	// outgoing has the edge groups that start at a boundary, ordered by their end.
	outgoing map[uint32][]*edgeGroup
	// costToEnd has the lowest cost from a boundary to the last one; boundaries that do not reach it are missing.
	costToEnd map[uint32]pathCost
}

// newLayerGraph builds the graph of the replicas that are usable for a request.
func newLayerGraph(view *View, request *Request) *layerGraph {
	byRange := map[layerRange]*edgeGroup{}
	for i := range view.Replicas {
		r := &view.Replicas[i]
		layers := layerRange{from: r.FromLayer, to: r.ToLayer}
		if !isUsable(r, request.Profile) || request.Exclude[r.Host] || !request.matchesRange(layers) {
			continue
		}
		g := byRange[layers]
		if g == nil {
			g = &edgeGroup{layers: layers}
			byRange[layers] = g
		}
		g.add(newEdge(view, request, r))
	}
	graph := &layerGraph{outgoing: map[uint32][]*edgeGroup{}, costToEnd: map[uint32]pathCost{}}
	for _, g := range byRange {
		graph.outgoing[g.layers.from] = append(graph.outgoing[g.layers.from], g)
	}
	for _, groups := range graph.outgoing {
		slices.SortFunc(groups, func(a, b *edgeGroup) int { return int(a.layers.to) - int(b.layers.to) })
	}
	_, end := request.layerBounds()
	graph.computeCostToEnd(end)
	return graph
}

// layerBounds returns the first and the last layer boundary of the chain.
func (r *Request) layerBounds() (from, to uint32) {
	if r.ToLayer > 0 {
		return r.FromLayer, r.ToLayer
	}
	return 0, r.Profile.GetLayers()
}

// matchesRange reports whether a replica of a layer range may be used: any range, unless the request names one.
func (r *Request) matchesRange(layers layerRange) bool {
	return r.ToLayer == 0 || layers == layerRange{from: r.FromLayer, to: r.ToLayer}
}

// newEdge returns the edge of a replica with its estimated load and cost.
func newEdge(view *View, request *Request, r *Replica) edge {
	ownCalls := 0
	if request.InFlight != nil {
		ownCalls = request.InFlight(r.Host)
	}
	load := estimateLoad(r, ownCalls, view.DaemonCount)
	e := edge{replica: r, load: load, ownCalls: ownCalls, cost: pathCost{stepTime: estimateStepTime(view, r, load)}}
	if r.Ejected {
		e.cost.ejected = 1
	}
	return e
}

// add adds an edge. The first edge that is not ejected replaces the ejected ones, and later ejected ones are dropped.
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

// computeCostToEnd fills costToEnd by dynamic programming from the last boundary, end, backwards.
func (g *layerGraph) computeCostToEnd(end uint32) {
	g.costToEnd[end] = pathCost{}
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
