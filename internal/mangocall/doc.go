// Package mangocall runs completions on chains of engines.
//
// # Usage
//
// A driver runs one call and hands its tokens to a sink:
//
//	result, err := driver.Run(ctx, call, sink)
//
// An error says by its Outcome whether the call ran.
package mangocall
