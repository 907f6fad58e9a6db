// Package mangopipeline chooses the replicas that a request passes through when the layers of its model are split over
// several replicas (pipeline parallelism).
//
// # Usage
//
// Choose only reads its arguments and keeps no state between calls:
//
//	chain, err := mangopipeline.Choose(view, request)
//
// Repair replaces the lost stages of a running request by other replicas of its data centre and keeps all others, which hold
// what they have computed so far:
//
//	chain, err := mangopipeline.Repair(view, request, stages, lost)
//
// All stages of a chain are in one data centre: the activations of a request take several megabytes, and the links between
// data centres carry only a few requests of that size at a time.
package mangopipeline
