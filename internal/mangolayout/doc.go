// Package mangolayout decides which layers of a model each replica holds.
//
// # Usage
//
// Plan is a pure function of the replicas of a service, so that a new holder of the lease goes on where the last one
// stopped:
//
//	moves := mangolayout.Plan(engine, replicas)
//
// A Placer gives the orders of a plan while its daemon holds the lease:
//
//	placer := mangolayout.New(tenure, orderer, source)
//	go func() { ended <- placer.Run(ctx) }()
package mangolayout
