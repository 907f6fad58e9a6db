package mangopipeline

import (
	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// maxStages is the number of parts that a replica accepts in a path.
const maxStages = 32

// Repair returns the chain of a running request in which the lost stages are replaced by other replicas of the data centre.
// All other stages stay as they are, unless a replica can only replace several lost ones together with those in between. The
// replacements are neither avoided nor leaving nor in the chain already, and have capacity for the request. Among several covers
// of a gap the choice is random, in proportion to their speed and free capacity, since all streams of a lost replica are repaired
// at the same moment and a replica prefills one prompt at a time. The error is of KindNoChain if the first stage is lost or a gap
// has no cover.
func Repair(view View, request Request, stages []Stage, lost func(r mangoreplica.Incarnation) bool) (Chain, error) {
	if view.Engine == nil || view.Engine.Layers <= 0 {
		return Chain{}, &Error{Op: "Repair", Kind: KindInvalid, Err: errors.New("the service has no engine, or its engine has no layers")}
	}
	if len(stages) == 0 || lost(stages[0].Replica.Incarnation()) {
		return Chain{}, &Error{Op: "Repair", Kind: KindNoChain, Err: errors.New("the first stage is lost")}
	}
	first, last := len(stages), 0
	for i, p := range stages {
		if lost(p.Replica.Incarnation()) {
			first, last = min(first, i), i
		}
	}
	set := replacements(view, request, stages)
	chain, err := set.replace(stages, func(i int) bool { return lost(stages[i].Replica.Incarnation()) })
	if err != nil {
		// One replica may be the only holder of layers in several gaps. It can take over all of them together with the kept
		// stages in between.
		chain, err = set.replace(stages, func(i int) bool { return first <= i && i <= last })
	}
	return chain, err
}

// replace returns the chain in which the stages that a function names are replaced by candidates, each of which is used once.
func (s *candidateSet) replace(stages []Stage, replaced func(i int) bool) (Chain, error) {
	free := &candidateSet{dataCentre: s.dataCentre, candidates: s.candidates}
	chain := Chain{DataCentre: s.dataCentre}
	for i := 0; i < len(stages); i++ {
		if !replaced(i) {
			chain.Stages = append(chain.Stages, stages[i])
			continue
		}
		gap := stages[i].Layers
		for i+1 < len(stages) && replaced(i+1) {
			i++
			gap.To = stages[i].Layers.To
		}
		cover, ok := free.takeCover(gap)
		if !ok {
			return Chain{}, &Error{Op: "Repair", Kind: KindNoChain, Err: errors.Errorf("no replica can take over layers %d to %d", gap.From, gap.To)}
		}
		for _, p := range cover {
			chain.Stages = append(chain.Stages, p.stage)
			chain.Pressure = max(chain.Pressure, p.candidate.pressure)
		}
	}
	if len(chain.Stages) > maxStages {
		return Chain{}, &Error{Op: "Repair", Kind: KindNoChain, Err: errors.Errorf("the path would have %d parts", len(chain.Stages))}
	}
	return chain, nil
}

// replacements returns the candidates of a chain's data centre that are not in the chain and have capacity for the request,
// with randomly weighted costs. That other replicas hold the layers as well adds nothing to the cost here: a replica that is
// kept free for a loss is the best replacement.
func replacements(view View, request Request, stages []Stage) *candidateSet {
	taken := map[string]bool{}
	for _, s := range stages {
		taken[s.Replica.ID] = true
	}
	inner := request
	inner.Exclude = func(id string) bool { return taken[id] || (request.Exclude != nil && request.Exclude(id)) }
	out := &candidateSet{dataCentre: stages[0].Replica.DataCentre}
	for _, s := range groupByDataCentre(view, inner, false) {
		if s.dataCentre != out.dataCentre {
			continue
		}
		for _, c := range s.candidates {
			if c.pressure > 1 {
				continue
			}
			waiting := 1.0
			if request.Repairs != nil {
				waiting += request.Repairs(c.replica.ID)
			}
			c.costPerLayer = c.timePerLayer * waiting * request.exponential()
			out.candidates = append(out.candidates, c)
		}
	}
	return out
}

// takeCover returns the cheapest cover of a range of layers and removes its replicas from the candidates, because a path names
// a replica once.
func (s *candidateSet) takeCover(layers mangoreplica.LayerRange) ([]coverPart, bool) {
	cover, ok := s.cheapestCover(layers, func(c candidate, r mangoreplica.LayerRange) (float64, bool) {
		return c.costPerLayer*float64(r.Len()) + c.fixedCost(false), true
	})
	if !ok {
		return nil, false
	}
	used := map[string]bool{}
	for _, p := range cover {
		used[p.stage.Replica.ID] = true
	}
	var left []candidate
	for _, c := range s.candidates {
		if !used[c.replica.ID] {
			left = append(left, c)
		}
	}
	s.candidates = left
	return cover, true
}
