// Package mangodispatch sends calls of plain services to their replicas.
//
// # Usage
//
// A dispatcher sends idempotent calls with retries and non-idempotent ones at most once under a ledger record:
//
//	dispatcher := mangodispatch.New(service, picker, ledger, statusClient)
//	answer, err := dispatcher.Run(ctx, call)
//
// All errors are of type *mangocall.Error; their Outcome says whether the call ran. For a non-idempotent call, NotRun
// covers every submission of the idempotency key. Either this process held the key's record and abandoned it without a run,
// or the caller stated that the key was not sent before, nothing was sent and no record was read.
package mangodispatch
