// Package mangochain selects the chain of replicas that serves a call: upstream hosts whose ranges of model layers follow
// each other without a gap, from the first layer to the last. It also computes how much traffic the replicas of a
// profile can serve.
//
// # Usage
//
// The result depends only on a View of the replicas and a Request:
//
//	chain, err := mangochain.Choose(view, request)
//
// The same view and request, seed included, give the same chain.
package mangochain
