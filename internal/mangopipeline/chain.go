package mangopipeline

import (
	"math"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Stage is a replica of a chain with the layers that a request uses on it.
type Stage struct {
	Replica *mangoreplica.Replica
	Layers  mangoreplica.LayerRange
}

// Share returns the share of the replica's layers that the request uses. The request takes that share of the memory that it
// would take with all of them.
func (s Stage) Share() float64 {
	held := s.Replica.Layers.Len()
	if held == 0 {
		return 1
	}
	return min(float64(s.Layers.Len())/float64(held), 1)
}

// Chain is a sequence of replicas of one data centre whose layers join without gap or overlap.
type Chain struct {
	DataCentre string
	Stages     []Stage
	// Cost ranks chains: the predicted time of one token on all stages, with the penalties that Choose adds.
	Cost time.Duration
	// Pressure is the share of the KV cache in use on the fullest stage, as estimated by this daemon. If the first stage has more
	// requests than slots, it is at least SlotUse, which is above 1 then.
	Pressure float64
	// SlotUse is the share of the slots of the first stage in use, this request included; 0 if its entry names none. Repair does not
	// set it, as the first stage stays.
	SlotUse float64
}

// IDs returns the ids of the replicas in the order of the stages.
func (c Chain) IDs() []string {
	ids := make([]string, len(c.Stages))
	for i, s := range c.Stages {
		ids[i] = s.Replica.ID
	}
	return ids
}

// ReplicaStatus returns what this daemon has observed about replicas: health, speed and its own load on them.
type ReplicaStatus interface {
	// Avoided reports whether a recent outage keeps requests away from the replica.
	Avoided(r mangoreplica.Incarnation, now time.Time) bool
	// CertainToFail reports whether a request through the replica is certain to fail, because the replica ended or is leaving.
	CertainToFail(r mangoreplica.Incarnation, now time.Time) bool
	// FailureRate returns the share of requests, from 0 to 1, that the replica is expected to fail.
	FailureRate(r mangoreplica.Incarnation, now time.Time) float64
	// Slowness returns the step time of the replica relative to the usual one; 1 is normal.
	Slowness(r mangoreplica.Incarnation, now time.Time) float64
	// FleetLoad returns the load that all daemons put on the replica, as far as it is known.
	FleetLoad(id string, now time.Time) mangoreplica.Load
}

// View is the state of one service that Choose selects a chain from.
type View struct {
	Replicas []*mangoreplica.Replica
	Engine   *mangoroute.Engine
	Status   ReplicaStatus
	// LocalDataCentre is the data centre of this daemon; chains in it are preferred.
	LocalDataCentre string
	Now             time.Time
}

// Request has the properties of a request that Choose takes into account.
type Request struct {
	// Tokens is the number of tokens that the request is expected to keep in the KV cache.
	Tokens float64
	// Exclude reports whether a replica must not be used; nil excludes none.
	Exclude func(id string) bool
	// CanBeFirst reports whether a replica may be the first stage of the chain; nil allows all.
	CanBeFirst func(r mangoreplica.Incarnation) bool
	// Connected reports whether there is an idle connection to a replica, which makes it a slightly better first stage; nil
	// means to none.
	Connected func(r *mangoreplica.Replica) bool
	// Penalty returns an extra cost of a data centre, for a queue there or because the request failed there before; nil
	// adds none.
	Penalty func(dataCentre string) time.Duration
	// Random returns numbers in [0, 1).
	Random func() float64
	// Spread makes Choose pick a data centre at random, in proportion to the free share of its chain and to the inverse of
	// its cost, instead of the cheapest one. It is set for streams that restart after a loss, many of which choose at once.
	Spread bool
	// Preferred is the data centre that the request goes to unless another one costs much less; empty stands for the local one, which
	// costs less to leave. It is drawn by the shares of mangobalance.
	Preferred string
	// Repairs returns the number of prompts that a replica was lately given by repairs of this daemon and may still be
	// prefilling; nil stands for none. Only Repair uses it.
	Repairs func(id string) float64
}

// distanceCost returns what is added to the cost of a chain whose data centre is neither preferred nor, without a preferred one, local.
// With a preferred one, the cost of failures of the first replica is raised as much as that of leaving, so that a failing replica is
// left as early as without one.
func (r Request) distanceCost(view View, c Chain) time.Duration {
	if r.Preferred == "" {
		if c.DataCentre != view.LocalDataCentre {
			return remoteCost
		}
		return 0
	}
	failures := view.Status.FailureRate(c.Stages[0].Replica.Incarnation(), view.Now) * float64(failureCost)
	cost := time.Duration(failures * (float64(notPreferredCost)/float64(remoteCost) - 1))
	if c.DataCentre != r.Preferred {
		cost += notPreferredCost
	}
	return cost
}

// rank returns the number by which Choose compares chains; the lowest wins.
func (r Request) rank(c Chain) float64 {
	if !r.Spread {
		return float64(c.Cost)
	}
	return float64(c.Cost) / (1 - min(c.Pressure, maxPressure)) * r.exponential()
}

// exponential returns a random number of an exponential distribution with mean 1, its extremes cut off. Among costs multiplied
// by such numbers, each is the lowest with a probability in proportion to its inverse.
func (r Request) exponential() float64 {
	const cut = 0.005
	return -math.Log(1 - cut - (1-2*cut)*r.Random())
}
