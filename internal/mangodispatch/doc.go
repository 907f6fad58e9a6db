// Package mangodispatch runs calls of plain services.
//
// # Usage
//
// A dispatcher sends idempotent calls with retries and non-idempotent ones at most once under a ledger record:
//
//	dispatcher := mangodispatch.New(service, picker, ledger, asker)
//	answer, err := dispatcher.Run(ctx, call)
//
// All errors are of type *mangocall.Error; their Outcome says whether the call ran. For a non-idempotent call NotRun
// is said about its idempotency key: this process held the key's record and gave it up without an execution, or the
// caller stated that the key was not sent before, nothing was sent and no record was read.
package mangodispatch
