package mangorelay

import (
	"context"
	"maps"
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// repairWork is what a repair needs of its request, apart from the state that all goroutines share.
type repairWork struct {
	relay     *Relay
	requestID string
	service   *mangoroute.Service
	first     *mangoreplica.Replica
	stages    []mangopipeline.Stage
	// repairs counts the earlier repairs of the stream.
	repairs    int
	canRestart bool
	tokens     float64
	started    bool
	// unusable has the replicas that failed or refused the request, and missing those that an answer named as missing parts.
	unusable, missing map[string]bool
	// onOrder is called before each order.
	onOrder func()
}

// run sends orders until the answers decide what the stream does.
func (w *repairWork) run(ctx context.Context) repairResult {
	r := repairResult{answer: mangorecovery.AnswerNone}
	for {
		lost := w.lostStages(time.Now())
		chain, err := w.choose(lost, time.Now())
		r.step = mangorecovery.Decide(mangorecovery.Situation{
			Answer: r.answer, Lost: len(lost) > 0, Replaceable: err == nil, Repairs: w.repairs, Orders: r.orders, CanRestart: w.canRestart,
		})
		if r.step != mangorecovery.StepOrder {
			if r.step != mangorecovery.StepWait && r.err == nil {
				r.err = err
			}
			return r
		}
		r.orders++
		r.stages, r.lost = chain.Stages, slices.Sorted(maps.Values(lost))
		w.onOrder()
		var answer RepathAnswer
		answer, r.err = w.relay.repairs.paths.Repath(ctx, w.first, w.requestID, chain.Stages)
		r.answer = answer.Answer
		if r.answer == mangorecovery.AnswerPartMissing && !w.markMissing(answer.PartAddress, chain.Stages) {
			// The missing part is not in the path, so no better path can be ordered.
			r.answer = mangorecovery.AnswerMismatch
		}
		if r.answer != mangorecovery.AnswerPartMissing {
			r.step = mangorecovery.Decide(mangorecovery.Situation{Answer: r.answer, Orders: r.orders, CanRestart: w.canRestart})
			return r
		}
	}
}

// markMissing records the replica of a path that has an address, and reports whether there is one.
func (w *repairWork) markMissing(address string, stages []mangopipeline.Stage) bool {
	for _, s := range stages {
		if s.Replica.Address == address {
			w.missing[s.Replica.ID] = true
			return true
		}
	}
	return false
}

// lostStages returns the ids of the replicas of the chain that are lost.
func (w *repairWork) lostStages(now time.Time) map[mangoreplica.Incarnation]string {
	outages, fleet := w.relay.health.Outages(now), w.relay.state.View().Fleet
	lost := map[mangoreplica.Incarnation]string{}
	for _, s := range w.stages {
		i := s.Replica.Incarnation()
		if outages[i].Cause.LikelyDown() || w.missing[s.Replica.ID] || fleet.ByID(s.Replica.ID) == nil || stageMoved(fleet, s) {
			lost[i] = s.Replica.ID
		}
	}
	return lost
}

// choose returns the chain with replacements for the lost stages, and counts the repair at these.
func (w *repairWork) choose(lost map[mangoreplica.Incarnation]string, now time.Time) (mangopipeline.Chain, error) {
	p := w.relay.repairs
	p.mu.Lock()
	defer p.mu.Unlock()
	chain, err := mangopipeline.Repair(
		mangopipeline.View{
			Replicas: w.relay.state.View().Fleet.ByService(w.service.Name), Engine: w.service.Engine, Status: w.relay.health,
			LocalDataCentre: w.relay.localDataCentre, Now: now,
		},
		mangopipeline.Request{
			Tokens: w.tokens, Random: w.relay.random, Repairs: func(id string) float64 { return p.recent.Count(id, now) },
			Exclude: func(id string) bool {
				return w.unusable[id] || w.missing[id] || (!w.started && w.relay.health.Full(id, now))
			},
		},
		w.stages, func(r mangoreplica.Incarnation) bool { return lost[r] != "" },
	)
	if err != nil {
		return chain, err
	}
	for _, s := range chain.Stages {
		if !slices.ContainsFunc(w.stages, func(o mangopipeline.Stage) bool { return o.Replica.ID == s.Replica.ID }) {
			p.recent.Add(s.Replica.ID, now)
		}
	}
	return chain, nil
}
