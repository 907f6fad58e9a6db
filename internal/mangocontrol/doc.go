// Package mangocontrol keeps the control state of an entry host: the configuration book, the host directory, the other entry
// hosts and the load that they report. The daemons of the entry hosts exchange this state with each other as peers.
//
// # Usage
//
// One goroutine, started by Run, owns the state and publishes immutable snapshots. Polls of the change log and the host
// list, probes of engines and exchanges with peers send it their changes:
//
//	controller := mangocontrol.New(identity, log, lister, peers, engines, opts...)
//	go func() { ended <- controller.Run(ctx) }()
//	profile, err := controller.Resolve(ctx, "tekst")
//	assignment, err := controller.Choose(ctx, request, false)
//
// Goroutines that serve calls load the snapshot once for each decision. What they observe of upstreams is sent to the
// control goroutine without blocking and is dropped when its queue is full.
package mangocontrol
