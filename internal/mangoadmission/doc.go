// Package mangoadmission admits the requests of callers. It resolves the profile, checks permissions, rate limits and the
// fair queue, refuses requests that crashed upstreams, and passes the others on to the driver of completions or the
// dispatcher of plain services.
//
// # Usage
//
//	admission := mangoadmission.New(controller, queue, driver, dispatcher, opts...)
//	result, err := admission.Complete(ctx, completion, sink)
//
// All errors are of type *mangocall.Error. A request that is refused before its dispatch has the outcome NotRun or Rejected,
// or Unknown if an earlier submission of a non-idempotent call may have run.
package mangoadmission
