// Package mangoupstream is the client of model engines and plain services.
//
// # Usage
//
// A stream carries the steps of one call on one stage:
//
//	stream, opened, err := engine.Open(ctx, address, open)
//	result, err := stream.Step(ctx, step)
//
// A stream that missed a deadline is closed and a new one resumes the call.
package mangoupstream
