package mangochain

import (
	"math"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// flowUnit is the resolution of Bound in tokens per second.
const flowUnit = 1e-3

// Capacity returns the number of calls that the usable replicas of a profile run at once: the maximum flow through
// the graph of layer boundaries, with batch sizes as capacities.
func Capacity(view View, profile *mangomessage.Profile) int {
	return int(maximumFlow(&view, profile, func(r *Replica) int64 { return int64(max(r.MaxBatch, 0)) }))
}

// MaxThroughput returns the same maximum flow in tokens per second, at the replicas' step times.
func MaxThroughput(view View, profile *mangomessage.Profile) float64 {
	rate := func(r *Replica) int64 {
		step := r.StepTime
		if step <= 0 {
			step = defaultStep
		}
		return int64(math.Round(float64(max(r.MaxBatch, 0)) / step.Seconds() / flowUnit))
	}
	return float64(maximumFlow(&view, profile, rate)) * flowUnit
}

// maximumFlow adds up replicas of one range, so that the graph has one arc for each range.
func maximumFlow(view *View, profile *mangomessage.Profile, capacity func(*Replica) int64) int64 {
	usable, ejected := map[span]int64{}, map[span]int64{}
	for i := range view.Replicas {
		r := &view.Replicas[i]
		if !serves(r, profile) {
			continue
		}
		key := span{from: r.FromLayer, to: r.ToLayer}
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
	n := network{out: map[uint32][]int{}}
	for key, sum := range usable {
		n.add(key, sum)
	}
	return n.maximum(profile.GetLayers())
}

// arc is a directed connection with the capacity left; arcs 2n and 2n+1 are each other's reverse.
type arc struct {
	to   uint32
	left int64
}

type network struct {
	arcs []arc
	out  map[uint32][]int
}

func (n *network) add(key span, capacity int64) {
	n.out[key.from] = append(n.out[key.from], len(n.arcs))
	n.out[key.to] = append(n.out[key.to], len(n.arcs)+1)
	n.arcs = append(n.arcs, arc{to: key.to, left: capacity}, arc{to: key.from})
}

// maximum augments along shortest paths (Edmonds-Karp) until none is left.
func (n *network) maximum(layers uint32) int64 {
	total := int64(0)
	for layers > 0 {
		path := n.path(layers)
		if path == nil {
			break
		}
		least := int64(math.MaxInt64)
		for _, a := range path {
			least = min(least, n.arcs[a].left)
		}
		for _, a := range path {
			n.arcs[a].left -= least
			n.arcs[a^1].left += least
		}
		total += least
	}
	return total
}

// path returns the arcs of a shortest path with capacity left, last arc first.
func (n *network) path(layers uint32) []int {
	via, queue := map[uint32]int{0: -1}, []uint32{0}
	for len(queue) > 0 && queue[0] != layers {
		at := queue[0]
		queue = queue[1:]
		for _, a := range n.out[at] {
			if _, seen := via[n.arcs[a].to]; !seen && n.arcs[a].left > 0 {
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
