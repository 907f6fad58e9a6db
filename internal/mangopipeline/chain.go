package mangopipeline

import (
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
	// Pressure is the share of the KV cache in use on the fullest stage, as estimated by this daemon.
	Pressure float64
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
	// Penalty returns an extra cost of a data centre, for a queue there or because the request failed there before; nil
	// adds none.
	Penalty func(dataCentre string) time.Duration
	// Random returns numbers in [0, 1).
	Random func() float64
}
