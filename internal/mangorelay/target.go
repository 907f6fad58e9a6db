package mangorelay

import (
	"maps"
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// target is where a request can be sent to: a replica of a plain service, or a chain of replicas of a split model. stages
// is empty for plain services; cost orders targets, and pressure is the share of memory in use on the fullest stage.
type target struct {
	first      *mangoreplica.Replica
	stages     []mangopipeline.Stage
	replicaIDs []string
	dataCentre string
	cost       time.Duration
	pressure   float64
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
)

// chooseTarget returns the target for the next send of a call, or false when there is none.
func (c *call) chooseTarget() (target, bool) {
	view := c.relay.state.View()
	service := c.service
	if c.route.Pipelined && service.Split() {
		return c.chooseChain(mangopipeline.View{
			Replicas: view.Fleet.ByService(service.Name), Engine: service.Engine, Status: c.relay.health, LocalDataCentre: c.relay.localDataCentre,
			Now: time.Now(),
		})
	}
	return c.chooseReplica(view.Fleet.ByService(c.serviceName))
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

// chooseChain prefers a chain whose replicas have not run the request. A started stream resumes at a replica that may
// have run it, with other replicas behind it, when its attempts are used up or no other chain is possible. While other
// replicas refuse for lack of capacity it waits for these instead: the replica that broke off is less likely to answer.
func (c *call) chooseChain(view mangopipeline.View) (target, bool) {
	again := c.attemptsExhausted()
	chain, err := c.cheapestChain(view, again)
	if err != nil && c.started && !again && len(c.refusingReplicas) == 0 {
		chain, err = c.cheapestChain(view, true)
	}
	if err != nil {
		return target{}, false
	}
	return target{
		first: chain.Stages[0].Replica, stages: chain.Stages, replicaIDs: chain.IDs(), dataCentre: chain.DataCentre, cost: chain.Cost,
		pressure: chain.Pressure,
	}, true
}

// cheapestChain returns the cheapest chain whose replicas have neither failed nor refused the request. If again is set,
// it begins at a replica that may have run the request; otherwise none of its replicas may have run it.
func (c *call) cheapestChain(view mangopipeline.View, again bool) (mangopipeline.Chain, error) {
	request := mangopipeline.Request{
		Tokens: c.estimateTokens(), Exclude: c.isExcluded, Penalty: c.dataCentrePenalty, Random: c.relay.random, CanBeFirst: c.draw.Allows,
	}
	if again {
		request.CanBeFirst = func(r mangoreplica.Incarnation) bool { return c.mayHaveRunOn[r.ID] && c.draw.Allows(r) }
		request.Exclude = c.isUnusable
	}
	return mangopipeline.Choose(view, request)
}

// dataCentrePenalty returns what is added to the cost of a data centre: the estimated wait for a first event there, and
// penalties for earlier failures of this request.
func (c *call) dataCentrePenalty(dataCentre string) time.Duration {
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
	answer := float64(c.request.AnswerTokens)
	if e := c.service.Engine; e.MeanAnswerTokens > 0 {
		answer = min(answer, 2*e.MeanAnswerTokens)
	}
	return float64(c.request.PromptTokens) + answer/2
}

// chooseReplica picks the replica of a plain service with the lowest cost, which is mainly the share of its slots in use.
// An avoided replica is picked only if there is no other.
func (c *call) chooseReplica(replicas []*mangoreplica.Replica) (target, bool) {
	now := time.Now()
	var best *mangoreplica.Replica
	least := 0.0
	for _, r := range replicas {
		if r.Draining || c.isExcluded(r.ID) || !c.draw.Allows(r.Incarnation()) || c.relay.health.Leaving(r.Incarnation()) || c.relay.health.Paused(r.Incarnation(), now) {
			continue
		}
		cost := c.relay.health.Utilisation(r.ID, r.Slots, now) + randomSpread*c.relay.random()
		cost += faultPenalty * c.relay.health.FailureRate(r.Incarnation(), now)
		if r.DataCentre != c.relay.localDataCentre {
			cost += remotePenalty
		}
		if c.relay.health.Avoided(r.Incarnation(), now) {
			// Outweighs all other parts of the cost.
			cost += 100
		}
		if best == nil || cost < least {
			best, least = r, cost
		}
	}
	if best == nil {
		return target{}, false
	}
	return target{first: best, replicaIDs: []string{best.ID}, dataCentre: best.DataCentre, cost: time.Duration(least * float64(time.Millisecond))}, true
}
