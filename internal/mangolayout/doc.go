// Package mangolayout decides which layers of a model each replica holds.
//
// # Usage
//
// Plan is a pure function of the replicas of a service, so that a new holder of the lease goes on where the last one
// stopped:
//
//	moves := mangolayout.Plan(engine, replicas)
//
// A Placer gives the orders of a plan while its daemon has the right to:
//
//	placer := mangolayout.New(state, tenure, engines, board)
//	go func() { ended <- placer.Run(ctx) }()
//
// What it plans from is checked first: a replica that seems to be lost is connected to, a data centre that is seen in part
// only is left alone, and while the store is away all replicas are asked for their layers.
package mangolayout
