// Package mangochain chooses the replicas that serve a call.
//
// # Usage
//
// A choice is a pure function of a view and a request:
//
//	chain, err := mangochain.Choose(view, request)
//
// The same view and request, seed included, give the same chain.
package mangochain
