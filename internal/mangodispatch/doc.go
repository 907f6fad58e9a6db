// Package mangodispatch runs calls of plain services.
//
// # Usage
//
// A dispatcher sends idempotent calls with retries and non-idempotent ones at most once under a ledger record:
//
//	dispatcher := mangodispatch.New(service, picker, ledger, asker)
//	answer, err := dispatcher.Run(ctx, call)
//
// All errors are of type *mangocall.Error; their Outcome says whether the call ran.
package mangodispatch
