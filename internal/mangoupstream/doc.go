// Package mangoupstream is the HTTP client of the two kinds of upstreams: model engines, each of which runs a range of the
// layers of a model, and plain services, which answer one request with one response.
//
// # Usage
//
// A stream carries the steps that one call runs on one engine:
//
//	stream, opened, err := engine.Open(ctx, address, open)
//	result, err := stream.Step(ctx, step)
//
// A step that misses its deadline closes the stream. A new stream can resume the call, since the engine keeps its KV cache
// for a while. The Kind of an error says whether the upstream may have run the request.
package mangoupstream
