// Package mangoledger keeps the at-most-once records of non-idempotent calls in the platform's store.
//
// # Usage
//
// The process whose Begin succeeded may send the call once, before the deadline of the ticket, and then records the
// result:
//
//	ticket, err := ledger.Begin(ctx, customer, key, digest)
//	if !ticket.MayDispatch(time.Now()) {
//		ledger.Abandon(ticket)
//	}
//	ledger.Finish(ctx, ticket, status, contentType, answer)
//
// Abandon is for a call that certainly did not run, and MarkUnknown for one that may have run. Run writes the states Done
// and NotRun to the store in the background. Lookup answers from the memory of this process, so it knows the result before
// that write is made.
package mangoledger
