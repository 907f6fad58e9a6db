// Package mangoplacement orders the engines of a data centre to load the model layers that the profiles
// assign to them.
//
// # Usage
//
// Each daemon runs a Placer. Only the daemon that holds the placement lease of its data centre sends orders:
//
//	placer := mangoplacement.New(store, sender, source, "nieuwegein", "entry-1")
//	go func() { ended <- placer.Run(ctx) }()
//
// Plan is a pure function of the desired state, the reported state and the time, so no round depends on the plan of an
// earlier one.
package mangoplacement
