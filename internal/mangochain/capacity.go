package mangochain

import (
	"math"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// throughputUnit is the resolution of MaxThroughput in tokens per second; the flow is computed in integers.
const throughputUnit = 1e-3

// Capacity returns the number of calls that the usable replicas of a profile run at once. This is the maximum flow from
// the first to the last layer boundary, where each replica is an arc with its batch size as capacity.
func Capacity(view View, profile *mangomessage.Profile) int {
	return int(maxProfileFlow(&view, profile, func(r *Replica) int64 { return int64(max(r.MaxBatch, 0)) }))
}

// MaxThroughput returns the number of tokens per second that the usable replicas of a profile generate at most: the same
// maximum flow as Capacity, with batch size divided by step time as the capacity of a replica.
func MaxThroughput(view View, profile *mangomessage.Profile) float64 {
	rate := func(r *Replica) int64 {
		step := r.StepTime
		if step <= 0 {
			step = defaultStepTime
		}
		return int64(math.Round(float64(max(r.MaxBatch, 0)) / step.Seconds() / throughputUnit))
	}
	return float64(maxProfileFlow(&view, profile, rate)) * throughputUnit
}

// maxProfileFlow returns the maximum flow through the usable replicas of a profile. The capacities of replicas of one
// layer range are added up, so that the network has one arc for each range; ejected replicas count only for ranges
// without other replicas.
func maxProfileFlow(view *View, profile *mangomessage.Profile, capacity func(*Replica) int64) int64 {
	usable, ejected := map[layerRange]int64{}, map[layerRange]int64{}
	for i := range view.Replicas {
		r := &view.Replicas[i]
		if !isUsable(r, profile) {
			continue
		}
		layers := layerRange{from: r.FromLayer, to: r.ToLayer}
		if r.Ejected {
			ejected[layers] += capacity(r)
		} else {
			usable[layers] += capacity(r)
		}
	}
	for layers, sum := range ejected {
		if _, ok := usable[layers]; !ok {
			usable[layers] = sum
		}
	}
	n := flowNetwork{outgoing: map[uint32][]int{}}
	for layers, sum := range usable {
		n.add(layers, sum)
	}
	return n.maxFlow(profile.GetLayers())
}

// arc is a directed arc of a flow network with its residual capacity. Arcs 2n and 2n+1 are each other's reverse.
type arc struct {
	to       uint32
	residual int64
}

// flowNetwork is a flow network whose vertices are layer boundaries.
type flowNetwork struct {
	arcs []arc
	// outgoing has the indices in arcs of the arcs that start at a boundary.
	outgoing map[uint32][]int
}

// add adds the arc of a layer range and its reverse.
func (n *flowNetwork) add(layers layerRange, capacity int64) {
	n.outgoing[layers.from] = append(n.outgoing[layers.from], len(n.arcs))
	n.outgoing[layers.to] = append(n.outgoing[layers.to], len(n.arcs)+1)
	n.arcs = append(n.arcs, arc{to: layers.to, residual: capacity}, arc{to: layers.from})
}

// maxFlow returns the maximum flow from boundary 0 to boundary end by the Edmonds-Karp algorithm: it augments the flow
// along shortest paths until none has residual capacity.
func (n *flowNetwork) maxFlow(end uint32) int64 {
	total := int64(0)
	for end > 0 {
		path := n.augmentingPath(end)
		if path == nil {
			break
		}
		bottleneck := int64(math.MaxInt64)
		for _, a := range path {
			bottleneck = min(bottleneck, n.arcs[a].residual)
		}
		for _, a := range path {
			n.arcs[a].residual -= bottleneck
			n.arcs[a^1].residual += bottleneck
		}
		total += bottleneck
	}
	return total
}

// augmentingPath returns the indices of the arcs of a shortest path from boundary 0 to boundary end that has residual
// capacity, last arc first, or nil when there is none. It is a breadth-first search.
func (n *flowNetwork) augmentingPath(end uint32) []int {
	arcTo, queue := map[uint32]int{0: -1}, []uint32{0}
	for len(queue) > 0 && queue[0] != end {
		at := queue[0]
		queue = queue[1:]
		for _, a := range n.outgoing[at] {
			if _, seen := arcTo[n.arcs[a].to]; !seen && n.arcs[a].residual > 0 {
				arcTo[n.arcs[a].to] = a
				queue = append(queue, n.arcs[a].to)
			}
		}
	}
	if _, found := arcTo[end]; !found {
		return nil
	}
	var path []int
	for at := end; at != 0; at = n.arcs[arcTo[at]^1].to {
		path = append(path, arcTo[at])
	}
	return path
}
