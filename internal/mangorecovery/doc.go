// Package mangorecovery decides what a running stream does when a replica of its chain is lost, and in which order streams
// restart that cannot go on along a repaired chain.
//
// # Usage
//
// Decide returns the next step from the situation of a stream. It is asked before the first order to change the path, and
// again with each answer to such an order:
//
//	step := mangorecovery.Decide(mangorecovery.Situation{Lost: true, Replaceable: true, CanRestart: true})
//
// Streams that restart enter a priority queue. A stream may restart when there is capacity and no stream that comes before it waits:
//
//	turn := queue.Enter(mangorecovery.Stream{Service: "model", Started: true, Remaining: 0.3})
//	defer turn.End()
//	if turn.Take(chain.Pressure) {
//		// send
//	}
//
// The package sends nothing and reads no clock.
package mangorecovery
