// Package mangolayout decides which layers of a split model each replica holds, and orders the replicas to load them.
//
// A chain is a set of replicas of one data centre that together hold all layers of the model. The capacity of a replica is
// the number of tokens of requests that fit into its memory beside its layers.
//
// # Usage
//
// Plan is a pure function of the states of the replicas of a service, so that a new holder of the lease continues where the
// previous one stopped:
//
//	moves := mangolayout.Plan(engine, states)
//
// A Placer sends the orders of a plan while its daemon holds the lease:
//
//	placer := mangolayout.New(state, lease, client, health)
//	go func() { ended <- placer.Run(ctx) }()
//
// The placer checks the state that it plans from. It connects to a replica that seems lost before the layers of that replica
// go to others. It does not plan a data centre that it sees only in part, as after a network partition. While the store is
// unreachable, it asks all replicas for their layers.
package mangolayout
