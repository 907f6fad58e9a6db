// Package mangorelay serves requests of callers: it chooses a replica or a chain of replicas, sends the request there,
// passes the answer on, and decides whether to send the request again after a failure.
//
// # Usage
//
//	relay := mangorelay.New(dataCentre, state, codec, dialer, health, budget, crashes, mangorelay.WithLogger(logger))
//	go func() { ended <- relay.Run(ctx) }()
//	relay.Serve(ctx, w, request)
//
// WithKeptConnections lets the first send of a request that may be repeated go over a connection that is kept. If that gives no
// answer, the request goes once more to the same replica over a new connection, out of the retry budget.
//
// Run checks in the background the replicas that failed a request or are silent.
//
// A 503 of the relay itself is given only if no upstream can have run the request. A request that may not be repeated is
// sent again only if the first upstream provably did not run it.
package mangorelay
