// Package mangobroadcast lets each daemon broadcast at once what concerns all daemons: outages of replicas, requests that may
// crash replicas, the layers that replicas hold or were ordered to hold, the pace of replicas, revisions of the store, and
// which daemon places layers while no daemon reaches the store.
//
// # Usage
//
//	broadcaster := mangobroadcast.New(self, client, state, health, crashes)
//	go func() { ended <- broadcaster.Run(ctx) }()
//	broadcaster.AnnounceOutage(outage)
//
// Each peer has a queue and a goroutine of its own, so that a peer that does not answer delays no other one.
//
// Requests for checks of replicas, their results and findings for those who asked go to single daemons by the methods
// SendCheckRequests, SendCheckResult and SendOutage; nobody sends them on.
//
// A Broadcaster is also the handler of the server for peers, which receives their broadcasts and passes them to the
// functions set with the On methods. What it receives is not forwarded, except for a share of the suspicions about requests.
package mangobroadcast
