// Package mangorelay serves requests of callers: it picks an upstream, sends the request, passes the answer on and decides
// what to repeat.
//
// # Usage
//
//	relay := mangorelay.New(state, codec, dialer, board, budget, suspects, mangorelay.WithLogger(logger))
//	relay.Serve(ctx, w, request)
//
// A refusal with status 503 is given only while no upstream can have run the request. A request that may not be
// repeated is sent a second time only if the first upstream provably did not run it.
package mangorelay
