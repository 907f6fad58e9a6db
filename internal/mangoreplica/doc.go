// Package mangoreplica holds what a daemon knows about the replicas of services.
//
// # Usage
//
// A Fleet is an immutable view of what replicas say of themselves in the store:
//
//	fleet := mangoreplica.NewFleet(replicas)
//	for _, r := range fleet.Of("service") { ... }
//
// A Board adds what this daemon and its peers observed: outages, refusals, failed requests and requests in flight. It is safe for concurrent use:
//
//	board.Avoid(replica, mangoreplica.CauseUnreachable, time.Second, now)
//	if board.Avoided(replica, now) { ... }
package mangoreplica
