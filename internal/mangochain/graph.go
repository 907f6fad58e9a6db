package mangochain

import (
	"slices"
	"time"
)

// price orders paths by the number of ejected replicas first and by time second.
type price struct {
	ejected int
	time    time.Duration
}

func (p price) less(q price) bool {
	if p.ejected != q.ejected {
		return p.ejected < q.ejected
	}
	return p.time < q.time
}

func (p price) plus(q price) price {
	return price{ejected: p.ejected + q.ejected, time: p.time + q.time}
}

// edge is a usable replica with its estimates.
type edge struct {
	replica *Replica
	price   price
	load    float64
	own     int
}

// span is a range of layers.
type span struct{ from, to uint32 }

// group holds the edges of one range; ejected ones only when there is no other.
type group struct {
	span  span
	edges []edge
	best  price
}

// graph has the groups that leave each layer boundary and the price of the rest of the way from it.
type graph struct {
	groups map[uint32][]*group
	rest   map[uint32]price
}

func newGraph(view *View, request *Request) *graph {
	bySpan := map[span]*group{}
	for i := range view.Replicas {
		r := &view.Replicas[i]
		key := span{from: r.FromLayer, to: r.ToLayer}
		if !serves(r, request.Profile) || request.Exclude[r.Host] || !request.asksFor(key) {
			continue
		}
		g := bySpan[key]
		if g == nil {
			g = &group{span: key}
			bySpan[key] = g
		}
		g.add(newEdge(view, request, r))
	}
	built := &graph{groups: map[uint32][]*group{}, rest: map[uint32]price{}}
	for _, g := range bySpan {
		built.groups[g.span.from] = append(built.groups[g.span.from], g)
	}
	for _, groups := range built.groups {
		slices.SortFunc(groups, func(a, b *group) int { return int(a.span.to) - int(b.span.to) })
	}
	_, end := request.bounds()
	built.solve(end)
	return built
}

// bounds returns the layer boundaries between which the chain runs.
func (r *Request) bounds() (from, to uint32) {
	if r.ToLayer > 0 {
		return r.FromLayer, r.ToLayer
	}
	return 0, r.Profile.GetLayers()
}

func (r *Request) asksFor(key span) bool {
	return r.ToLayer == 0 || key == span{from: r.FromLayer, to: r.ToLayer}
}

func newEdge(view *View, request *Request, r *Replica) edge {
	own := 0
	if request.InFlight != nil {
		own = request.InFlight(r.Host)
	}
	estimate := load(r, own, view.DaemonCount)
	e := edge{replica: r, load: estimate, own: own, price: price{time: cost(view, r, estimate)}}
	if r.Ejected {
		e.price.ejected = 1
	}
	return e
}

// add keeps ejected edges only as long as there is no other.
func (g *group) add(e edge) {
	switch {
	case len(g.edges) == 0 || e.price.ejected < g.best.ejected:
		g.edges, g.best = append(g.edges[:0], e), e.price
	case e.price.ejected > g.best.ejected:
	default:
		g.edges = append(g.edges, e)
		if e.price.less(g.best) {
			g.best = e.price
		}
	}
}

// solve finds the cheapest rest of the way from each boundary to the last layer, from the end backwards.
func (g *graph) solve(layers uint32) {
	g.rest[layers] = price{}
	starts := make([]uint32, 0, len(g.groups))
	for from := range g.groups {
		starts = append(starts, from)
	}
	slices.Sort(starts)
	for _, from := range slices.Backward(starts) {
		for _, group := range g.groups[from] {
			rest, ok := g.rest[group.span.to]
			if !ok {
				continue
			}
			total := group.best.plus(rest)
			if known, ok := g.rest[from]; !ok || total.less(known) {
				g.rest[from] = total
			}
		}
	}
}
