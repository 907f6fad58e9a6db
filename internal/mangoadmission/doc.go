// Package mangoadmission takes a caller's request from authentication to the driver of completions or the dispatcher
// of plain services: it resolves the profile, applies limits and the fair queue, and refuses what crashed upstreams.
//
// # Usage
//
//	admission := mangoadmission.New(controller, queue, driver, dispatcher, opts...)
//	result, err := admission.Complete(ctx, completion, sink)
//
// All errors are of type *mangocall.Error; a refusal before a dispatch has the outcome NotRun or Rejected.
package mangoadmission
