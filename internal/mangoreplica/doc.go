// Package mangoreplica holds what a daemon knows about the replicas of services: which ones there are, and how healthy and
// how loaded they are.
//
// # Usage
//
// A Fleet is an immutable set of the replicas, as they describe themselves in the store:
//
//	fleet := mangoreplica.NewFleet(replicas)
//	for _, r := range fleet.ByService("service") { ... }
//
// A HealthTracker adds what this daemon and its peers observed: outages, refusals, failed requests, slowness and requests in
// flight. It is safe for concurrent use:
//
//	tracker.Avoid(replica.Incarnation(), mangoreplica.CauseUnreachable, time.Second, now)
//	if tracker.Avoided(replica.Incarnation(), now) { ... }
package mangoreplica
