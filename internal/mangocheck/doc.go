// Package mangocheck lets the hubs that monitor a replica check it on behalf of all daemons.
//
// A check is a TCP connection that is closed at once. Each replica has two monitors, hubs that mangoliveness.Monitors selects by
// rendezvous hashing. A hub whose only recent check failed also connects to witnesses, other replicas of the service in the data
// centre: if none of them answers either, the hub itself is probably cut off.
//
// # Usage
//
//	checker := mangocheck.New(self, state, dialer, sender)
//	checker.OnVerdict(relay.ReportLost, relay.ReportReachable)
//	go func() { ended <- checker.Run(ctx) }()
//	asked := checker.RequestChecks(replicas)
//
// A daemon that sees a silent chain calls RequestChecks, which sends one message to each hub that monitors replicas of the
// chain. HandleRequests takes such messages on a hub. The first monitor of a replica checks it at once. The second one does so
// after confirmDelay unless the first one has reported by then that the replica is reachable. So a reachable replica gets one
// connection, and the loss of a monitor delays a verdict by confirmDelay. A replica is checked at most once in shareInterval;
// requests in that time share the result, unless the replica was reached before the silence that they are about.
//
// A request for checks of replicas in another data centre also opens a round of Reachability, which decides whether that data centre is
// cut off from this daemon: HandleAlive and EventPassed take signs of life from there. Connected takes the times of connections, so
// that probes over slow links are given longer. CutOff returns the state, and OnCutOff sets the function that is told of a cut. The
// local data centre is never cut off.
//
// A Table decides which replicas to check and what results mean, without I/O. A Checker runs the checks and sends messages.
package mangocheck
