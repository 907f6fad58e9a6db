// Package mangoledger keeps the at-most-once records of non-idempotent calls in the platform's store.
//
// # Usage
//
// The process whose Begin succeeded may send the call once, before the ticket's deadline, and then says what became of it:
//
//	ticket, err := ledger.Begin(ctx, customer, key, digest)
//	if !ticket.MayDispatch(time.Now()) {
//		ledger.Abandon(ticket)
//	}
//	ledger.Finish(ctx, ticket, status, contentType, answer)
//
// Abandon is for a call that surely did not run and MarkUnknown for one that may have run. Run writes Done and NotRun
// in the background; until it has done so, Lookup answers for this process.
package mangoledger
