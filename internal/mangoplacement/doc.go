// Package mangoplacement brings the engines of a data centre to what the profiles ask for.
//
// # Usage
//
// Every daemon runs a placer; the one that holds the lease of its data centre gives orders:
//
//	placer := mangoplacement.New(store, sender, source, "nieuwegein", "entry-1")
//	go func() { ended <- placer.Run(ctx) }()
//
// Plan is pure and decides from the desired and the present state alone, so that every round starts afresh.
package mangoplacement
