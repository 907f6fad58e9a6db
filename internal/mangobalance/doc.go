// Package mangobalance decides which share of the new requests of a daemon goes to each data centre that holds the whole model.
//
// # Usage
//
// Observe derives the state of each data centre from the replicas and their loads, and Shares the shares. Draw picks a data centre:
//
//	shares := mangobalance.Shares(local, mangobalance.Observe(view, demand))
//	dataCentre := mangobalance.Draw(shares, random)
//
// demand is the memory, in tokens, that the requests arriving in each data centre would take; nil if it is not known.
//
// All daemons decide alone, by a view that is 0.25 to 1 s old. The shares are therefore continuous functions of that view: daemons
// that see the same do not all move at once.
package mangobalance
