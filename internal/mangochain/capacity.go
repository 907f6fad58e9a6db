package mangochain

import (
	"math"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// throughputUnit is the resolution of Bound in tokens per second.
const throughputUnit = 1e-3

// Capacity returns the number of calls that the usable replicas of a profile run at once: the maximum flow through
// the graph of layer boundaries, with batch sizes as capacities.
func Capacity(view View, profile *mangomessage.Profile) int {
	return int(maxProfileFlow(&view, profile, func(r *Replica) int64 { return int64(max(r.MaxBatch, 0)) }))
}

// MaxThroughput returns the same maximum flow in tokens per second, at the replicas' step times.
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

// maxProfileFlow adds up replicas of one range, so that the graph has one arc for each range.
func maxProfileFlow(view *View, profile *mangomessage.Profile, capacity func(*Replica) int64) int64 {
	usable, ejected := map[layerRange]int64{}, map[layerRange]int64{}
	for i := range view.Replicas {
		r := &view.Replicas[i]
		if !isUsable(r, profile) {
			continue
		}
		key := layerRange{from: r.FromLayer, to: r.ToLayer}
		if r.Ejected {
			ejected[key] += capacity(r)
		} else {
			usable[key] += capacity(r)
		}
	}
	for key, sum := range ejected {
		if _, ok := usable[key]; !ok {
			usable[key] = sum
		}
	}
	n := flowNetwork{outgoing: map[uint32][]int{}}
	for key, sum := range usable {
		n.add(key, sum)
	}
	return n.maxFlow(profile.GetLayers())
}

// arc is a directed connection with the capacity left; arcs 2n and 2n+1 are each other's reverse.
type arc struct {
	to       uint32
	residual int64
}

type flowNetwork struct {
	arcs     []arc
	outgoing map[uint32][]int
}

func (n *flowNetwork) add(key layerRange, capacity int64) {
	n.outgoing[key.from] = append(n.outgoing[key.from], len(n.arcs))
	n.outgoing[key.to] = append(n.outgoing[key.to], len(n.arcs)+1)
	n.arcs = append(n.arcs, arc{to: key.to, residual: capacity}, arc{to: key.from})
}

// maxFlow augments along shortest paths (Edmonds-Karp) until none is left.
func (n *flowNetwork) maxFlow(layers uint32) int64 {
	total := int64(0)
	for layers > 0 {
		path := n.augmentingPath(layers)
		if path == nil {
			break
		}
		least := int64(math.MaxInt64)
		for _, a := range path {
			least = min(least, n.arcs[a].residual)
		}
		for _, a := range path {
			n.arcs[a].residual -= least
			n.arcs[a^1].residual += least
		}
		total += least
	}
	return total
}

// augmentingPath returns the arcs of a shortest augmentingPath with capacity left, last arc first.
func (n *flowNetwork) augmentingPath(layers uint32) []int {
	via, queue := map[uint32]int{0: -1}, []uint32{0}
	for len(queue) > 0 && queue[0] != layers {
		at := queue[0]
		queue = queue[1:]
		for _, a := range n.outgoing[at] {
			if _, seen := via[n.arcs[a].to]; !seen && n.arcs[a].residual > 0 {
				via[n.arcs[a].to] = a
				queue = append(queue, n.arcs[a].to)
			}
		}
	}
	if _, found := via[layers]; !found {
		return nil
	}
	var path []int
	for at := layers; at != 0; at = n.arcs[via[at]^1].to {
		path = append(path, via[at])
	}
	return path
}
