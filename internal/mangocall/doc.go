// Package mangocall runs completion calls on chains of engines, each of which holds a range of the model's layers. It
// also defines the errors and outcomes that all kinds of calls return.
//
// # Usage
//
// A driver runs one call and passes its tokens to a sink:
//
//	result, err := driver.Run(ctx, call, sink)
//
// A call that fails on one chain continues on another: the prompt and the tokens already sent are prefilled there, so that
// the caller sees one answer without gaps or repeats. The Outcome of an error says whether the call may have run.
package mangocall
