package mangopipeline

import (
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Stage is a replica with the layers that a request uses there.
type Stage struct {
	Replica *mangoreplica.Replica
	Layers  mangoreplica.LayerRange
}

// Chain is a sequence of replicas whose layers join without gap or overlap.
type Chain struct {
	DataCentre string
	Stages      []Stage
	// Cost is the predicted time of a token on all parts.
	Cost time.Duration
	// Pressure is the share of the memory for requests that is in use on the fullest part, by this daemon's estimate.
	Pressure float64
}

// IDs returns the ids of the replicas in order.
func (c Chain) IDs() []string {
	ids := make([]string, len(c.Stages))
	for i, p := range c.Stages {
		ids[i] = p.Replica.ID
	}
	return ids
}

// ReplicaStatus tells what is known about a replica beyond its entry.
type ReplicaStatus interface {
	Avoided(r mangoreplica.Incarnation, now time.Time) bool
	// Out reports whether a request through the replica is sure to fail.
	Out(r mangoreplica.Incarnation, now time.Time) bool
	// Faults returns the share of requests that the replica is expected to fail as the first of a chain.
	Faults(r mangoreplica.Incarnation, now time.Time) float64
	// Slowness returns the time of the replica's steps in units of the usual one.
	Slowness(r mangoreplica.Incarnation, now time.Time) float64
	InFlight(id string) (requests int, tokens float64)
}

// View is the state that a choice is made from.
type View struct {
	Replicas []*mangoreplica.Replica
	Engine   *mangoroute.Engine
	Status    ReplicaStatus
	// LocalDataCentre is the data centre of this daemon.
	LocalDataCentre string
	// Daemons is the number of daemons that send requests to the same replicas.
	Daemons int
	Now     time.Time
}

// Request is what a choice depends on besides the view.
type Request struct {
	// Tokens is the number of tokens that the request will hold in memory.
	Tokens float64
	// Exclude reports whether a replica must not be used; nil excludes none.
	Exclude func(id string) bool
	// CanBeFirst reports whether a replica may be the first of the chain; nil allows all.
	CanBeFirst func(id string) bool
	// Penalty adds to the cost of a data centre, for a queue there or because the request failed there before; nil adds
	// nothing.
	Penalty func(dataCentre string) time.Duration
	// Random returns numbers in [0, 1).
	Random func() float64
}
