package mangorelay

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// maxWorkTokens bounds the prompt and answer tokens that count for one request, so that a caller that overstates them does not
	// distort the demand.
	maxWorkTokens = 32_768
	// localWaitFactorRange is the difference between the factors of the most and the least urgent rank for the waits from which
	// requests are refused without a shared view: 1.25 and 0.75.
	localWaitFactorRange = 0.5
	// priorityClasses is the number of classes by which replicas order requests, 0 to 9.
	priorityClasses = 10
	// reasonLocalWait is the reason of refusals by the waits that this daemon itself has seen.
	reasonLocalWait = "local_wait"
)

// rank returns the rank of the request; the priority of the customer comes before that of the route.
func (c *call) rank() mangoroute.Rank { return c.customer.Rank(c.route) }

// hasRanks reports whether the requests of the service have several ranks.
func (c *call) hasRanks() bool { return len(c.ranks) > 1 }

// rankIndex returns the index of the rank of the request among those of its service; -1 if the service has one rank or does not list it.
func (c *call) rankIndex() int {
	if !c.hasRanks() {
		return -1
	}
	return slices.Index(c.ranks, c.rank())
}

// rankPosition returns 0 for the most urgent rank of the service, 1 for the least urgent one, and 0 if rankIndex finds none.
func (c *call) rankPosition() float64 {
	index := c.rankIndex()
	if index < 0 {
		return 0
	}
	return float64(index) / float64(len(c.ranks)-1)
}

// priorityClass returns the class by which replicas, and restarts of this daemon, order requests; 0 is the most urgent. It is the
// index of the rank, since the priority of a customer alone would make its routes equal, or the priority if there is no such index.
func (c *call) priorityClass() int {
	index := c.rankIndex()
	if index < 0 {
		return c.rank().Priority
	}
	// With more ranks than classes, neighbouring ranks share a class.
	return min(index, index*priorityClasses/len(c.ranks))
}

// localWaitFactor returns the factor, by rank, of the waits from which the request is refused without a shared view.
func (c *call) localWaitFactor() float64 {
	if !c.hasRanks() {
		return 1
	}
	return 1 + localWaitFactorRange*(0.5-c.rankPosition())
}

// work returns what the request needs, bounded since callers state it.
func (c *call) work() mangocapacity.Work {
	prompt := min(max(float64(c.request.PromptTokens), 0), maxWorkTokens)
	return mangocapacity.Work{Tokens: c.estimateTokens(), PromptTokens: prompt, AnswerTokens: min(max(c.expectedAnswer(), 1), maxWorkTokens)}
}

// isStreamOfRanks reports whether the request is a new stream through a split model whose streams have several ranks. A caller
// that resumes a stream has a part of it, which is worth more than a new one.
func (c *call) isStreamOfRanks() bool {
	return c.route.Kind == mangoroute.Stream && c.route.Pipelined && c.service.Split() && c.hasRanks() && !c.request.Resumes
}

// class returns the class of the request, by whose demand it is judged.
func (c *call) class() mangocapacity.Class {
	return mangocapacity.Class{Rank: c.rank(), Returning: c.isReturning()}
}

// decide judges the request by a view; random is in [0, 1).
func (c *call) decide(view mangocapacity.View, random float64, now time.Time) mangocapacity.Decision {
	// A time left of 0 would mean that there is no deadline.
	return mangocapacity.Decide(view, mangocapacity.Request{
		Class: c.class(), Work: c.work(), Target: c.route.LatencyTarget, TimeLeft: max(c.deadline.Sub(now), 1), Random: random,
	})
}

// refuseForShortage decides by the view that all daemons share whether a new stream is refused, before anything is sent. If so, it
// also returns the Retry-After time.
func (c *call) refuseForShortage() (retryAfter time.Duration, refused bool) {
	if !c.isStreamOfRanks() {
		return 0, false
	}
	now := time.Now()
	class := c.class()
	c.relay.demand.Arrive(c.serviceName, c.relay.localDataCentre, class, c.work(), now)
	view := c.relay.demand.View(c.serviceName, c.capacitySites(now), c.relay.links, now)
	c.observeCapacity(view)
	c.demandAt, c.large = currentDemand(view), view.IsLarge(class, c.work())
	d := c.decide(view, c.relay.random(), now)
	c.judged = d.Reason != mangocapacity.ReasonNoView
	switch {
	case !c.judged:
		return 0, false
	case d.Admit:
		c.relay.observer.Admission(class.Rank.Priority, class.Rank.RoutePriority, "Admitted")
		return 0, false
	}
	c.logShed(string(d.Reason), d.RetryAfter, logrus.Fields{
		"room": int(d.Room), "demand": int(d.Demand), "share": d.Share, "view_age_ms": view.Age.Milliseconds(),
		"step_us": view.StepTime.Microseconds(),
	})
	return d.RetryAfter, true
}

// currentDemand returns the demand for memory by data centre; nil if the part that other daemons reported is missing or too old.
func currentDemand(view mangocapacity.View) map[string]float64 {
	if view.Age > mangocapacity.MaxAge {
		return nil
	}
	return view.DemandAt
}

// observeCapacity sets the gauges of room and demand. A data centre that cannot serve the request has no room.
func (c *call) observeCapacity(view mangocapacity.View) {
	room := map[string]float64{}
	for name := range view.DemandAt {
		room[name] = 0
	}
	for _, s := range view.Sites {
		room[s.DataCentre] = s.Free
	}
	for name, free := range room {
		c.relay.observer.Capacity(c.serviceName, name, free, view.DemandAt[name])
	}
}

// capacitySites returns the memory of the data centres that can serve the request. Those that are cut off count only if all are.
func (c *call) capacitySites(now time.Time) []mangocapacity.Site {
	sites := mangocapacity.Sites(mangopipeline.View{
		Replicas: c.relay.state.View().Fleet.ByService(c.serviceName), Engine: c.service.Engine, Status: c.relay.health, Now: now,
	})
	isCutOff := func(s mangocapacity.Site) bool { return c.relay.links.CutOff(s.DataCentre) }
	if reachable := slices.DeleteFunc(slices.Clone(sites), isCutOff); len(reachable) > 0 {
		return reachable
	}
	return sites
}

// shedLocally counts and logs a refusal by the waits that this daemon itself has seen, and returns the Retry-After time.
func (c *call) shedLocally(t target) time.Duration {
	retryAfter := c.localRetryAfter()
	c.logShed(reasonLocalWait, retryAfter, logrus.Fields{
		"data_centre": t.dataCentre, "wait_ms": c.relay.delays.Estimate(c.serviceName, t.dataCentre, time.Now()).Milliseconds(),
	})
	return retryAfter
}

// localRetryAfter returns the Retry-After time of a refusal by the waits that this daemon itself has seen.
func (c *call) localRetryAfter() time.Duration {
	if !c.hasRanks() {
		return c.shedRetryAfter()
	}
	// A caller does not return later than this limit. Services with one rank have no such limit.
	return mangocapacity.LimitRetryAfter(c.shedRetryAfter(), time.Until(c.deadline))
}

// logShed logs a refusal for lack of capacity with the numbers that decided it. It counts the refusal if the service has several
// ranks, since admitted streams are counted only then.
func (c *call) logShed(reason string, retryAfter time.Duration, numbers logrus.Fields) {
	if c.hasRanks() {
		c.relay.observer.Admission(c.rank().Priority, c.rank().RoutePriority, "Refused")
	}
	c.relay.logger.WithFields(logrus.Fields{
		"event": "request_shed", "request": c.request.ID, "route": c.route.Name, "rank": c.rank().Priority, "route_priority": c.rank().RoutePriority,
		"returning": c.isReturning(), "tokens": int(c.work().Tokens), "retry_after_ms": retryAfter.Milliseconds(), "reason": reason,
	}).WithFields(numbers).Warn("a new stream is turned away since room is short")
}
