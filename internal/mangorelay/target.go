package mangorelay

import (
	"maps"
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// target is where a request can be sent to: a replica of a plain service, or a chain of replicas of a split model. stages
// is empty for plain services; cost orders targets, and pressure is that of a mangopipeline.Chain.
type target struct {
	first      *mangoreplica.Replica
	stages     []mangopipeline.Stage
	replicaIDs []string
	dataCentre string
	cost       time.Duration
	pressure   float64
	// slotUse is the share of the slots of the first stage in use; 0 for plain services and entries without slots.
	slotUse float64
}

// incarnations returns the incarnations of all replicas of a target.
func (t target) incarnations() []mangoreplica.Incarnation {
	if len(t.stages) == 0 {
		return []mangoreplica.Incarnation{t.first.Incarnation()}
	}
	list := make([]mangoreplica.Incarnation, len(t.stages))
	for i, p := range t.stages {
		list[i] = p.Replica.Incarnation()
	}
	return list
}

const (
	// remotePenalty is added to the cost of a replica in another data centre, in units of the share of slots in use.
	remotePenalty = 0.25
	// faultPenalty is added to the cost of a replica that fails all requests, and a part of it if it fails some.
	faultPenalty = 2
	// randomSpread bounds the random part of the cost, which spreads requests over replicas that are equally busy.
	randomSpread = 0.05
	// keptBonus is taken from the cost of a replica with a kept connection. It is a tenth of randomSpread, so that it decides
	// only between replicas that cost about the same.
	keptBonus = randomSpread / 10
	// lastResortCost is added to the cost of a replica that is avoided or beyond a cut. It outweighs all other parts of the cost.
	lastResortCost = 100
)

// chooseTarget returns the target for the next send of a call, or false when there is none.
func (c *call) chooseTarget() (target, bool) {
	replicas := c.relay.state.View().Fleet.ByService(c.serviceName)
	if c.needsChain() {
		return c.chooseChain(c.pipelineView(replicas))
	}
	return c.chooseReplica(replicas)
}

// needsChain reports whether the request goes through a chain of replicas.
func (c *call) needsChain() bool { return c.route.Pipelined && c.service.Split() }

// pipelineView returns what chains of some replicas of the service are chosen from.
func (c *call) pipelineView(replicas []*mangoreplica.Replica) mangopipeline.View {
	return mangopipeline.View{
		Replicas: replicas, Engine: c.service.Engine, Status: c.relay.health, LocalDataCentre: c.relay.localDataCentre, Now: time.Now(),
	}
}

// coveredDataCentres returns the data centres whose usable replicas hold all layers of the model.
func (c *call) coveredDataCentres() []string {
	if !c.service.Split() {
		return nil
	}
	view := c.relay.state.View()
	covered := mangopipeline.CoveredDataCentres(mangopipeline.View{
		Replicas: view.Fleet.ByService(c.serviceName), Engine: c.service.Engine, Status: c.relay.health, Now: time.Now(),
	})
	return slices.Sorted(maps.Keys(covered))
}

// chooseChain chooses among the data centres that are not cut off. One that is cut off is used only if no other one has a whole chain; if
// the others have one that cannot take the request now, there is no target, since their capacity comes free earlier than an answer comes
// from beyond the cut.
func (c *call) chooseChain(view mangopipeline.View) (target, bool) {
	reachable := view
	reachable.Replicas = c.withoutCutOff(view.Replicas)
	t, ok := c.chooseReachableChain(reachable)
	if ok || len(reachable.Replicas) == len(view.Replicas) || len(mangopipeline.CoveredDataCentres(reachable)) > 0 {
		return t, ok
	}
	return c.chooseReachableChain(view)
}

// withoutCutOff returns the replicas in data centres that are not cut off.
func (c *call) withoutCutOff(replicas []*mangoreplica.Replica) []*mangoreplica.Replica {
	cut, found := map[string]bool{}, false
	for _, r := range replicas {
		if _, known := cut[r.DataCentre]; !known {
			cut[r.DataCentre] = c.relay.links.CutOff(r.DataCentre)
			found = found || cut[r.DataCentre]
		}
	}
	if !found {
		return replicas
	}
	var list []*mangoreplica.Replica
	for _, r := range replicas {
		if !cut[r.DataCentre] {
			list = append(list, r)
		}
	}
	return list
}

// chooseReachableChain prefers a chain whose replicas have not run the request. A started stream resumes at a replica that may
// have run it, with other replicas behind it, when its attempts are used up or no other chain is possible. While other
// replicas refuse for lack of capacity it waits for these instead: the replica that broke off is less likely to answer.
func (c *call) chooseReachableChain(view mangopipeline.View) (target, bool) {
	again := c.attemptsExhausted()
	chain, err := c.cheapestChain(view, again)
	if err != nil && c.unansweredFirst != "" {
		c.unansweredFirst = ""
		chain, err = c.cheapestChain(view, again)
	}
	if err != nil && c.started && !again && len(c.refusingReplicas) == 0 {
		chain, err = c.cheapestChain(view, true)
	}
	if err != nil {
		return target{}, false
	}
	return target{
		first: chain.Stages[0].Replica, stages: chain.Stages, replicaIDs: chain.IDs(), dataCentre: chain.DataCentre, cost: chain.Cost,
		pressure: chain.Pressure, slotUse: chain.SlotUse,
	}, true
}

// cheapestChain returns the cheapest chain whose replicas have neither failed nor refused the request. If again is set,
// it begins at a replica that may have run the request; otherwise none of its replicas may have run it.
func (c *call) cheapestChain(view mangopipeline.View, again bool) (mangopipeline.Chain, error) {
	request := c.pipelineRequest()
	if again {
		request.CanBeFirst = func(r mangoreplica.Incarnation) bool {
			return c.mayHaveRunOn[r.ID] && r.ID != c.unansweredFirst && c.draw.Allows(r)
		}
		request.Exclude = c.isUnusable
	}
	if !again && !request.Spread {
		request.Preferred = c.preferredDataCentre(view)
	}
	return mangopipeline.Choose(view, request)
}

// pipelineRequest returns the properties by which a chain is chosen. They exclude replicas that are unusable for the request or may have
// run it.
func (c *call) pipelineRequest() mangopipeline.Request {
	return mangopipeline.Request{
		Tokens: c.estimateTokens(), Exclude: c.isExcluded, Penalty: c.dataCentrePenalty, Random: c.relay.random, CanBeFirst: c.draw.Allows,
		Spread: c.restarts(), Connected: c.prefersKept,
	}
}

// dataCentrePenalty returns what is added to the cost of a data centre: the estimated wait for a first event there, and
// penalties for earlier failures of this request; or cutOffPenalty if it is cut off.
func (c *call) dataCentrePenalty(dataCentre string) time.Duration {
	if c.relay.links.CutOff(dataCentre) {
		return cutOffPenalty
	}
	return c.retryPenalties[dataCentre] + c.relay.delays.Estimate(c.serviceName, dataCentre, time.Now())
}

// isUnusable reports whether a replica failed or refused this request or counts as full. Started streams may use full
// replicas: the capacity that becomes free there is left to them.
func (c *call) isUnusable(id string) bool {
	return c.failedReplicas[id] || c.refusingReplicas[id] || (!c.started && c.relay.health.Full(id, time.Now()))
}

// isExcluded reports whether a replica is unusable or may have run the request.
func (c *call) isExcluded(id string) bool { return c.isUnusable(id) || c.mayHaveRunOn[id] }

// estimateTokens estimates the memory that a request takes, in tokens. The answer grows over the life of the request, so
// half of it counts.
func (c *call) estimateTokens() float64 {
	tokens := float64(c.request.PromptTokens) + c.expectedAnswer()/2
	if c.hasRanks() {
		// Others are turned away by what this request seems to need.
		return min(max(tokens, 1), maxWorkTokens)
	}
	return tokens
}

// expectedAnswer returns the expected number of tokens of the answer. With several ranks the caller's hint counts, but not above
// what the caller allows at most.
func (c *call) expectedAnswer() float64 {
	answer := float64(c.request.AnswerTokens)
	if e := c.service.Engine; e.MeanAnswerTokens > 0 {
		answer = min(answer, 2*e.MeanAnswerTokens)
	}
	if c.hasRanks() && c.request.AnswerHint > 0 {
		answer = min(answer, float64(c.request.AnswerHint))
	}
	return answer
}

// chooseReplica picks the replica of a plain service with the lowest cost, which is mainly the share of its slots in use.
// An avoided replica is picked only if there is no other.
func (c *call) chooseReplica(replicas []*mangoreplica.Replica) (target, bool) {
	now := time.Now()
	var best *mangoreplica.Replica
	least := 0.0
	for _, r := range replicas {
		cost, usable := c.replicaCost(r, now)
		if usable && (best == nil || cost < least) {
			best, least = r, cost
		}
	}
	if best == nil {
		return target{}, false
	}
	return target{first: best, replicaIDs: []string{best.ID}, dataCentre: best.DataCentre, cost: time.Duration(least * float64(time.Millisecond))}, true
}

// replicaCost returns the cost of a replica of a plain service, or false if the request cannot be sent to it.
func (c *call) replicaCost(r *mangoreplica.Replica, now time.Time) (cost float64, usable bool) {
	if r.Draining || c.isExcluded(r.ID) || !c.draw.Allows(r.Incarnation()) || c.relay.health.Leaving(r.Incarnation()) || c.relay.health.Paused(r.Incarnation(), now) {
		return 0, false
	}
	cost = c.relay.health.Utilisation(r.ID, r.Slots, now) + randomSpread*c.relay.random()
	cost += faultPenalty * c.relay.health.FailureRate(r.Incarnation(), now)
	if r.DataCentre != c.relay.localDataCentre {
		cost += remotePenalty
	}
	if c.prefersKept(r) {
		cost -= keptBonus
	}
	if c.relay.health.Avoided(r.Incarnation(), now) || c.relay.links.CutOff(r.DataCentre) {
		cost += lastResortCost
	}
	return cost, true
}
