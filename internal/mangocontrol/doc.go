// Package mangocontrol owns the control state of an entry host.
//
// # Usage
//
// One goroutine owns the state and publishes immutable snapshots; pollers, probes and peers hand it changes:
//
//	controller := mangocontrol.New(identity, log, lister, peers, engines, opts...)
//	go func() { ended <- controller.Run(ctx) }()
//	profile, err := controller.Resolve(ctx, "tekst")
//	assignment, err := controller.Choose(ctx, request, false)
//
// Traffic goroutines load the snapshot once for each decision; what they observe goes back over a channel that never
// blocks them.
package mangocontrol
