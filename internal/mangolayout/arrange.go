package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// releaseCost is the cost of a replica that gives up layers, in layers to load. It takes no new requests for them and
	// waits for those that pass through, which takes about as long as loading this many layers. Urgent orders do not wait;
	// they cost urgentReleaseCost, because more replicas that load at the same time are slower.
	releaseCost       = 18
	urgentReleaseCost = 2
	// transitionCapacity is the capacity that a replica keeps while it holds its old layers beside its new ones. It is
	// below the usual use of a data centre, but lasts only until the old layers are trimmed.
	transitionCapacity = 45000.0
	// costPerLayer is the cost of loading a layer. Each changed range costs 1 in addition, so that among equal arrangements
	// the one with the fewest changes is taken.
	costPerLayer = 1 << 10
	// infeasible is a cost above that of any arrangement.
	infeasible = 1 << 30
)

// arrangement assigns new ranges to some replicas, by their index in planner.states, so that all layers have a holder.
type arrangement struct {
	layers map[int]mangoreplica.LayerRange
	cost   int
}

// layersToLoad returns the number of layers to load, with those that stand for waits.
func (a arrangement) layersToLoad() int { return a.cost / costPerLayer }

// byFirstLayer returns the indices of the replicas that hold layers, sorted by their first layer.
func (p *planner) byFirstLayer() []int {
	var order []int
	for i, s := range p.states {
		if s.Layers.Len() > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.states[a].Layers.From, p.states[b].Layers.From) })
	return order
}

// constraints limit which new ranges an arrangement may assign.
type constraints struct {
	// capacity is the capacity, in tokens of requests, that replicas with new ranges keep.
	capacity float64
	// growOnly forbids replicas to give up layers.
	growOnly bool
	// levelling forbids replicas to give up layers before others hold them, and does not count on unchanged ranges that
	// leave less than the capacity.
	levelling bool
}

// prefix is the cheapest way found to hold all layers below a point with the first replicas of an order.
type prefix struct {
	cost int
	// from is the point up to which the replicas before the last one hold the layers.
	from int
	// layers is the new range of the last replica; empty if it keeps its own.
	layers mangoreplica.LayerRange
}

// arrange finds the cheapest new ranges with which replicas, in a given order, hold all layers, each range next to the one
// before or overlapping it. It uses dynamic programming over replicas and layers. Replicas may be left out and then keep
// their ranges.
func (p *planner) arrange(order []int, c constraints) (arrangement, bool) {
	layers := p.engine.Layers
	prefixes := make([][]prefix, len(order)+1)
	prefixes[0] = newPrefixes(layers)
	prefixes[0][0].cost = 0
	for n, i := range order {
		prefixes[n+1] = p.extendPrefixes(prefixes[n], p.states[i], c)
	}
	last := prefixes[len(order)][layers]
	if last.cost >= infeasible {
		return arrangement{}, false
	}
	a := arrangement{layers: map[int]mangoreplica.LayerRange{}, cost: last.cost}
	for n, at := len(order), layers; n > 0; n-- {
		pr := prefixes[n][at]
		if pr.layers.Len() > 0 {
			a.layers[order[n-1]] = pr.layers
		}
		at = pr.from
	}
	return a, true
}

// newPrefixes returns a prefix for each point of the model, none of which is feasible yet.
func newPrefixes(layers int) []prefix {
	prefixes := make([]prefix, layers+1)
	for i := range prefixes {
		prefixes[i].cost = infeasible
	}
	return prefixes
}

// extendPrefixes returns the prefixes with one more replica.
func (p *planner) extendPrefixes(before []prefix, s ReplicaState, c constraints) []prefix {
	size := p.maxLayers(s, c.capacity)
	after := newPrefixes(p.engine.Layers)
	improve := func(at int, pr prefix) {
		if pr.cost < after[at].cost {
			after[at] = pr
		}
	}
	for at, b := range before {
		if b.cost >= infeasible {
			continue
		}
		improve(at, prefix{cost: b.cost, from: at})
		if s.Layers.From <= at && at < s.Layers.To && (!c.levelling || s.Layers.Len() <= size) {
			improve(s.Layers.To, prefix{cost: b.cost, from: at})
		}
		if !s.Movable {
			continue
		}
		// A new range starts before the point only to keep layers that the replica holds already.
		for from := min(at, max(s.Layers.From, at-size+1, 0)); from <= at; from++ {
			for to := at + 1; to <= min(from+size, p.engine.Layers); to++ {
				r := mangoreplica.LayerRange{From: from, To: to}
				if cost, ok := p.moveCost(s, r, c); ok {
					improve(to, prefix{cost: b.cost + cost, from: at, layers: r})
				}
			}
		}
	}
	return after
}

// moveCost returns the cost of a new range for a replica, and whether the constraints allow it.
func (p *planner) moveCost(s ReplicaState, r mangoreplica.LayerRange, c constraints) (int, bool) {
	kept := max(0, min(r.To, s.Layers.To)-max(r.From, s.Layers.From))
	cost := (r.Len()-kept)*costPerLayer + 1
	if kept == s.Layers.Len() {
		return cost, true
	}
	if p.isRedundant(s) {
		return cost, !c.growOnly
	}
	if p.transitionRange(s, r) != r {
		return cost, !c.growOnly
	}
	if p.chainBroken {
		return cost + urgentReleaseCost*costPerLayer, !c.growOnly && !c.levelling
	}
	return cost + releaseCost*costPerLayer, !c.growOnly && !c.levelling
}

// transitionRange returns the new range joined with the present one of a replica if they touch and leave enough capacity,
// else the new range. With the joined range the replica serves its old layers until the new ones are loaded, and gives them
// up when others hold them.
func (p *planner) transitionRange(s ReplicaState, r mangoreplica.LayerRange) mangoreplica.LayerRange {
	if s.Layers.Len() == 0 || r.From > s.Layers.To || s.Layers.From > r.To {
		return r
	}
	joined := mangoreplica.LayerRange{From: min(r.From, s.Layers.From), To: max(r.To, s.Layers.To)}
	if joined.Len() > max(p.maxLayers(s, transitionCapacity), s.Layers.Len()) {
		return r
	}
	return joined
}

func sortedKeys(m map[int]mangoreplica.LayerRange) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
