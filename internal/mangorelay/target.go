package mangorelay

import (
	"maps"
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// target is an upstream, or a chain of them, that a request can be sent to.
type target struct {
	first      *mangoreplica.Replica
	parts      []mangopipeline.Stage
	ids        []string
	dataCentre string
	cost       time.Duration
	pressure   float64
}

// incarnations returns the replicas of a target.
func (t target) incarnations() []mangoreplica.Incarnation {
	if len(t.parts) == 0 {
		return []mangoreplica.Incarnation{t.first.Incarnation()}
	}
	list := make([]mangoreplica.Incarnation, len(t.parts))
	for i, p := range t.parts {
		list[i] = p.Replica.Incarnation()
	}
	return list
}

const (
	// remoteBusy is the share of slots in use that weighs as much as another data centre.
	remoteBusy = 0.25
	// faultBusy is the share of slots in use that weighs as much as a replica that fails all requests.
	faultBusy = 2
	// spread is the random part of the cost of a replica of a plain service, as a share of its slots.
	spread = 0.05
)

// choose returns the target for the next send of a call, or false when there is none.
func (c *call) choose() (target, bool) {
	view := c.relay.state.View()
	service := c.service
	if c.route.Pipelined && service.Split() {
		return c.chooseChain(mangopipeline.View{
			Replicas: view.Fleet.ByService(service.Name), Engine: service.Engine, Status: c.relay.board, LocalDataCentre: c.relay.local,
			Daemons: len(view.Members), Now: time.Now(),
		})
	}
	return c.chooseReplica(view.Fleet.ByService(c.serviceName))
}

// covered returns the data centres whose usable replicas hold all layers.
func (c *call) covered() []string {
	if !c.service.Split() {
		return nil
	}
	view := c.relay.state.View()
	covered := mangopipeline.CoveredDataCentres(mangopipeline.View{
		Replicas: view.Fleet.ByService(c.serviceName), Engine: c.service.Engine, Status: c.relay.board, Now: time.Now(),
	})
	return slices.Sorted(maps.Keys(covered))
}

// chooseChain prefers a chain of an untried first replica. A begun stream goes on at a replica that it ran on, by others
// behind it, when its attempts are used up or no other replica can begin a chain. Others that are full are waited for: the
// replica that broke off is the less likely one to answer.
func (c *call) chooseChain(view mangopipeline.View) (target, bool) {
	again := c.exhausted()
	chain, err := c.chain(view, again)
	if err != nil && c.started && !again && len(c.full) == 0 {
		chain, err = c.chain(view, true)
	}
	if err != nil {
		return target{}, false
	}
	return target{
		first: chain.Stages[0].Replica, parts: chain.Stages, ids: chain.IDs(), dataCentre: chain.DataCentre, cost: chain.Cost,
		pressure: chain.Pressure,
	}, true
}

// chain returns the cheapest chain that begins at a replica that ran the request, or that has only replicas that did not.
func (c *call) chain(view mangopipeline.View, again bool) (mangopipeline.Chain, error) {
	request := mangopipeline.Request{Tokens: c.tokens(), Exclude: c.excluded, Penalty: c.penaltyOf, Random: c.relay.random}
	if again {
		request.CanBeFirst = func(id string) bool { return c.ranOn[id] }
		request.Exclude = c.unusable
	}
	return mangopipeline.Choose(view, request)
}

// penaltyOf returns what speaks against a data centre: the wait for a first event there, and earlier failures of this
// request.
func (c *call) penaltyOf(dataCentre string) time.Duration {
	return c.penalty[dataCentre] + c.relay.delays.Estimate(c.serviceName, dataCentre, time.Now())
}

// unusable reports whether a replica failed this request or has no room for it. Requests that have not begun leave the room
// that comes free at full replicas to those that have.
func (c *call) unusable(id string) bool {
	return c.exclude[id] || c.full[id] || (!c.started && c.relay.board.Full(id, time.Now()))
}

// excluded reports whether a replica is unusable or may have run the request.
func (c *call) excluded(id string) bool { return c.unusable(id) || c.ranOn[id] }

// tokens estimates the memory of a request; the answer grows over its life, so half of it counts.
func (c *call) tokens() float64 {
	answer := float64(c.request.AnswerTokens)
	if e := c.service.Engine; e.MeanAnswerTokens > 0 {
		answer = min(answer, 2*e.MeanAnswerTokens)
	}
	return float64(c.request.PromptTokens) + answer/2
}

// chooseReplica picks the least busy replica of a plain service. Replicas that are avoided are the last resort.
func (c *call) chooseReplica(replicas []*mangoreplica.Replica) (target, bool) {
	now := time.Now()
	var best *mangoreplica.Replica
	least := 0.0
	for _, r := range replicas {
		if r.Draining || c.excluded(r.ID) {
			continue
		}
		cost := c.relay.board.Utilisation(r.ID, r.Slots, now) + spread*c.relay.random()
		cost += faultBusy * c.relay.board.Faults(r.Incarnation(), now)
		if r.DataCentre != c.relay.local {
			cost += remoteBusy
		}
		if c.relay.board.Avoided(r.Incarnation(), now) {
			cost += 100
		}
		if best == nil || cost < least {
			best, least = r, cost
		}
	}
	if best == nil {
		return target{}, false
	}
	return target{first: best, ids: []string{best.ID}, dataCentre: best.DataCentre, cost: time.Duration(least * float64(time.Millisecond))}, true
}
