// Package mangopipeline chooses the replicas that a request of a split model passes through.
//
// # Usage
//
// Choose is a pure function of a view and a request:
//
//	chain, err := mangopipeline.Choose(view, request)
//
// A chain stays within one data centre: activations are several megabytes a request, and the links between data centres
// carry only a few requests of that size at a time.
package mangopipeline
